#!/usr/bin/env bash
# The stand-ins are Python scripts that use the standard library only: nothing to build, they are
# only checked to parse. The scripts start the program of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py [0-9]/case.py <<'CHECK'
import ast
import sys

for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)
CHECK
