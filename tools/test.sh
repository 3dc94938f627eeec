#!/usr/bin/env bash
# Sets up the environment and runs the format check, the linter, the tests and the benchmarks.
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/setup.sh
bin="$(cd "${CHIVEFALL_VENV:-.venv}" && pwd)/bin"
"$bin/ruff" format --check .
"$bin/ruff" check .
# Hypothesis examples depend on the iteration order of sets; a fixed hash seed makes it
# deterministic.
exec env PYTHONHASHSEED=0 "$bin/python" -m tools.run_tests "$@"
