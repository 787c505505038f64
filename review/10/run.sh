#!/usr/bin/env bash
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
exec .venv/bin/python -B review/10/case.py
