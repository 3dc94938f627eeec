#!/usr/bin/env bash
# Checks that the stand-ins of the cases 6 to 10 compile; they need only the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common-2 6 7 8 9 10
