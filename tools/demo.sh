#!/usr/bin/env bash
# Sets up the environment, starts a complete deployment and submits a gang of 8 and an
# urgent job.
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/setup.sh
exec "${CHIVEFALL_VENV:-.venv}/bin/python" -m standins.deployment "$@"
