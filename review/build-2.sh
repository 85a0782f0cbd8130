#!/usr/bin/env bash
# Builds the stand-ins of the cases from 4 on. They are Python programs, so there is nothing to compile; checks that they can be read.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
PYTHONDONTWRITEBYTECODE=1 python3 - common-2/*.py [4-8]/*.py <<'PROGRAM'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PROGRAM
