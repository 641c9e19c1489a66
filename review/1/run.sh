#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruptions out. Exit code: 1 broken, 0 held, 2 not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
export PYTHONPATH="$here/../../target/deps" PYTHONDONTWRITEBYTECODE=1
python3 -S -c "import aiohttp, ochreway_direct" || { echo "build first: see deploy/system.toml"; exit 2; }
exec python3 -S "$here/case.py"
