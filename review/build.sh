#!/usr/bin/env bash
# The stand-ins of the review are Python programs that use the standard library only; this
# checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common
