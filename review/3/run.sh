#!/bin/sh
# Plays the case; see claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
python=.venv/bin/python
[ -x "$python" ] || python=python3
exec "$python" -B -m review.3.case
