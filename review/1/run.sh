#!/usr/bin/env bash
# Plays the case once; TROUBLE=0 leaves the disruption out. Exit code: 1 broken, 0 held, 2 not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
export PYTHONPATH="$here/../../target/deps"
exec python3 -S "$here/case.py"
