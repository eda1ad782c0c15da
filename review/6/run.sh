#!/usr/bin/env bash
# Exit status 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: without the disruption.
exec python3 -B "$(dirname "$0")/case.py"
