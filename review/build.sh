#!/bin/sh
# The stand-ins are Python programs of the standard library: checks that they compile.
set -eu
cd "$(dirname "$0")"
python3 - standins/*.py [1-5]/run.py <<'CHECK'
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or later is needed")
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
CHECK
