#!/bin/sh
# Installs the dependencies of both programs into target/deps, unless what is there is newer than the list of them and
# can be imported: a folder of another machine or Python, or one that is half made, is replaced. Fails if the programs
# cannot be imported afterwards.
set -e
cd "$(dirname "$0")/.."

importable() {
    PYTHONPATH=target/deps python3 -S -B -c "import lynxscale.dataplane.cli, lynxscale.dataplane.process, \
lynxscale.controlplane.cli, lynxscale.controlplane.process"
}

if [ target/deps -nt requirements-tier.txt ] && importable 2>/dev/null; then
    exit 0
fi
rm -rf target/deps target/deps-unfinished
python3 -m pip install -q --target target/deps-unfinished -r requirements-tier.txt
mv target/deps-unfinished target/deps
touch target/deps
importable
