#!/usr/bin/env bash
# Builds one executable file with all packages: tools/build_binary.sh [OUTPUT].
# One-file modes of PyInstaller and Nuitka start a child process from their
# launcher, which instances do not allow; a zipapp runs in one process.
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/setup.sh
bin="$(cd "${CHIVEFALL_VENV:-.venv}" && pwd)/bin"
output="${1:-dist/chivefall}"
mkdir -p "$(dirname "$output")"
rm -rf build # setuptools would pack files that were deleted since the last build
PATH="$bin:$PATH" shiv --reproducible --console-script chivefall --output-file "$output" .
