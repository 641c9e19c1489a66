#!/bin/sh
# The stand-ins of the second review are Python, of the standard library alone. They are compiled
# here, outside of the repository, so that a mistake in them shows before a script starts.
set -e
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m compileall -q standins2 [4-8]
