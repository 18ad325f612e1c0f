#!/bin/sh
# Checks what the scripts of review/6 to review/10 start beside the programs of
# the deploy file. The stand-ins are Python and use only packages that the build
# of the deploy file has put into target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import ast
import pathlib

import aiohttp.web  # noqa: F401

for source in sorted(pathlib.Path('review').rglob('*.py')):
    ast.parse(source.read_text(encoding='utf-8'), str(source))
print('the stand-ins are ready')
CHECK
