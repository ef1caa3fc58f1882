#!/usr/bin/env bash
# Builds what the scripts start besides the programs of the deploy file. All
# stand-ins are Python programs in harness/, so they are only checked here.
set -euo pipefail
cd "$(dirname "$0")"
for file in harness/*.py */play.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
python3 -c 'import asyncio, tomllib; asyncio.timeout'
