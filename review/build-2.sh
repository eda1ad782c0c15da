#!/usr/bin/env bash
# Prepares the cases 4 to 6. Their stand-ins are Python files with the standard library alone, so nothing is compiled:
# this checks that they can be read, and that the program of the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
python3 -B - <<'PY'
import ast, sys, tomllib
assert sys.version_info >= (3, 11)
for path in ["review/lib-2/mp.py", "review/lib-2/web.py", "review/lib-2/world.py"] + [f"review/{n}/case.py" for n in (4, 5, 6)]:
    with open(path) as f:
        ast.parse(f.read(), path)
with open("deploy/service.toml", "rb") as f:
    run = tomllib.load(f)["run"].split()
open(run[0], "rb").close()
PY
echo "ready"
