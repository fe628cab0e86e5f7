#!/bin/sh
# Exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
cd "$root" || exit 2
PYTHONPATH="$root/review:$root/target/deps" PYTHONDONTWRITEBYTECODE=1 exec python3 "$folder/case.py"
