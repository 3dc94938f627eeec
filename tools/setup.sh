#!/usr/bin/env bash
# Creates the virtual environment with pinned packages, unless it is up to date.
set -euo pipefail
cd "$(dirname "$0")/.."
venv="${CHIVEFALL_VENV:-.venv}"
stamp="$venv/pyproject.sum"
sum="$(sha256sum pyproject.toml | cut -d' ' -f1)"
if [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$sum" ]; then
    python3 -m venv "$venv"
    "$venv/bin/pip" install --quiet --editable '.[dev]'
    echo "$sum" > "$stamp"
fi
