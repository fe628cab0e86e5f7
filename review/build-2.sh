#!/bin/sh
# Builds every stand-in that the scripts of cases 4 to 8 start. They are Python and run from their sources: this checks
# that each of them compiles, and that what they import is there after the build of the deploy file.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
PYTHONPATH="$root/review:$root/target/deps" PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
from pathlib import Path

import harness_2

for path in (Path(harness_2.__file__), *sorted(Path("review").glob("[4-8]/case.py"))):
    compile(path.read_text(), str(path), "exec")
    print(f"{path.name} of {path.parent.name} compiles")
PYTHON
