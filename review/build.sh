#!/bin/sh
# Builds what the cases start beside the director: their stand-ins and the project's control server are Python
# and need nothing but the environment that the build of the deploy file makes. Checks that all of it loads.
set -e
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
.venv/bin/python - <<'PY'
import ast, pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PY
.venv/bin/python review/stand/feed.py --help > /dev/null
.venv/bin/python -c "import gladelane.server, gladelane.control_plane.server, gladelane.purges.purge_log, pyjson5"
