PYTHON := .venv/bin/python

.PHONY: build test lint run bench-trace soak-trace bench-list soak-list bench-journal soak-journal soak-upgrade bench-operation \
	bench-cluster soak-cluster sim-cluster check-cluster soak-rare soak-faults sim-tier soak-tier demo-tier upgrade-tier \
	bench-turn

build: .venv/ready

.venv/ready: requirements.txt requirements-tier.txt requirements-dev.txt pyproject.toml
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	.venv/bin/pip -q install --no-deps -e .
	touch $@

test: build
	$(PYTHON) -m pytest -q -p no:cacheprovider -n 4 --dist worksteal -m "not alone"
	$(PYTHON) -m pytest -q -p no:cacheprovider -m alone
	$(PYTHON) -m behave --no-capture --format progress features

lint: build
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .
	.venv/bin/mypy
	$(PYTHON) .ci/deployment_names.py

run: build
	exec $(PYTHON) -m lynxscale

bench-trace: build
	$(PYTHON) -m lab.bench_trace

soak-trace: build
	TRACE_KILLS=50 $(PYTHON) -m pytest -q -p no:cacheprovider tests/test_trace_recorder.py -k kill
	$(PYTHON) -m lab.bench_trace --only memory --big 1g

bench-list: build
	$(PYTHON) -m lab.bench_lists

soak-list: build
	for seed in 1 2 3 4 5; do LISTS_SEED=$$seed LISTS_REWRITES=4000 \
		$(PYTHON) -m pytest -q -p no:cacheprovider tests/relay/test_upstream_live.py -k "rewrites or middle" -s || exit 1; done

bench-journal: build
	$(PYTHON) -m lab.bench_journal

bench-operation: build
	$(PYTHON) -m lab.bench_operation

soak-upgrade: build
	for seed in 1 2 3 4 5 6; do UPGRADE_SEED=$$seed UPGRADE_ROUNDS=8 \
		$(PYTHON) -m pytest -q -p no:cacheprovider tests/relay/test_upgrade.py -k kill -s || exit 1; done

soak-journal: build
	JOURNAL_KILLS=1000 $(PYTHON) -m pytest -q -p no:cacheprovider tests/relay/journal/test_journal_live.py -k kills -s
	JOURNAL_SEEDS=6 $(PYTHON) -m pytest -q -p no:cacheprovider -n 4 tests/relay/journal/test_journal.py

bench-cluster: build
	$(PYTHON) -m lab.bench_cluster

# Ten thousand simulated histories and ten thousand random walks of the cluster's state machines.
sim-cluster: build
	seq 0 1250 8750 | xargs -P 8 -I{} sh -c '$(PYTHON) -m lab.cluster.simulate {} $$(({} + 1249)) && \
		$(PYTHON) -m lab.cluster.explore {} $$(({} + 1249))'

# Checks the serving tier: small models in every order of events, a second failure at every step of a membership change,
# 3,000 drawn plays of deaths amid a change of voters, ten thousand random histories of simulated tiers, 600 of route
# changes, 400 of conversations, and the mutations that these checks must detect. Takes hours on eight cores; each
# command can also be run alone.
sim-tier: build
	$(PYTHON) -m lab.tier.models
	$(PYTHON) -m lab.tier.second_failure
	$(PYTHON) -m lab.tier.interrupted_changes 1 3000
	seq 1 1250 8751 | xargs -P 8 -I{} sh -c '$(PYTHON) -m lab.tier.histories {} $$(({} + 1249))'
	$(PYTHON) -m lab.tier.route_histories 1 400
	$(PYTHON) -m lab.tier.route_histories 401 600 --varied
	$(PYTHON) -m lab.tier.turn_histories 1 400
	$(PYTHON) -m lab.tier.mutations

# Soaks real relays under signals and restarts, against endpoints that are full and repeat answers late: FIRST=1, LAST=50.
# OPTIONS: those of lab.tier.soak, such as "--relays 100 --controls 5", or "--seconds 90 --pausing-clients 40".
soak-tier: build
	$(PYTHON) -m lab.tier.soak $(or $(FIRST),1) $(or $(LAST),50) $(OPTIONS)

# Demo: a small tier of real processes on loopback serves programs while its primary is killed.
demo-tier: build
	$(PYTHON) -m lab.tier.demo

# Upgrades a tier of real processes under load from the checkout OTHER to this one, and back: OTHER=PATH, SEED=N. With
# CONTROLS=4, voters are replaced by a spare while the versions mix.
upgrade-tier: build
	$(PYTHON) -m lab.tier.rolling_upgrade $(OTHER) $(if $(SEED),--seed $(SEED)) $(if $(CONTROLS),--controls $(CONTROLS))

# Compares the CPU time of a turn in this checkout and in the checkout OTHER: OTHER=PATH. Needs an idle machine.
bench-turn: build
	$(PYTHON) -m lab.tier.bench_turn $(OTHER)

# Explores every order of events that can affect the cluster's views, within each scenario's bounds.
check-cluster: build
	$(PYTHON) -m lab.cluster.check

# One hour with five nodes and one hour with sixteen. SEED defaults to the day of the year.
soak-cluster: build
	$(PYTHON) -m lynxscale lab cluster --nodes 5 --minutes 60 --at-once 3 --seed $${SEED:-$$(date +%j)}
	$(PYTHON) -m lynxscale lab cluster --nodes 16 --minutes 60 --at-once 2 --rate 2 --seed $${SEED:-$$(date +%j)}

# Each kind of fault alone, with three, five and seven nodes; stops at the first failure. SEED as in soak-cluster.
soak-faults: build
	for nodes in 3 5 7; do for kind in $$($(PYTHON) -c "from lab.cluster.faults import ALL; print(*ALL)"); do \
		echo "$$nodes nodes, $$kind"; $(PYTHON) -m lynxscale lab cluster --nodes $$nodes --kinds $$kind --at-once 1 \
		--minutes 0.3 --seed $${SEED:-$$(date +%j)} || exit 1; done; done

# Repeats the tests of race conditions, restart rules, the relay core, deadlines and the connection budget for MINUTES
# (default 60), with seeds from SEED (default 1) upwards. Prints each seed before its run; stops at the first failure.
soak-rare: build
	seed=$${SEED:-1}; end=$$(($$(date +%s) + 60 * $${MINUTES:-60})); while [ $$(date +%s) -lt $$end ]; do \
		echo "seed $$seed"; RARE_SEED=$$seed $(PYTHON) -m pytest -q -p no:cacheprovider -n 4 --hypothesis-seed=$$seed \
		tests/relay/test_race_conditions.py tests/relay/test_restart_rules.py tests/relay/test_core.py \
		tests/relay/test_deadlines.py tests/relay/test_connection_budget.py || exit 1; \
		seed=$$((seed + 1)); done
