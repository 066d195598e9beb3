#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 8. They are Python scripts, so there
# is nothing to compile: this fails if Python is too old or one is malformed.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - standins-2/*.py [6-8]/*.py <<'PY'
import ast
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed for tomllib"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
    print("ok", path)
PY
