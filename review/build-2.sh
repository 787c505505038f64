#!/usr/bin/env bash
# Builds what the scripts of the cases 6 to 10 start, after the build of the deploy file: the stand-ins in
# review/stand_2 and the cases themselves. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/stand_2 review/6 review/7 review/8 review/9 review/10
