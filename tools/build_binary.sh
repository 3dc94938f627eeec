#!/usr/bin/env bash
# Builds a single-file executable with all dependencies: tools/build_binary.sh [OUTPUT].
# It is a zipapp, which runs in one process. The one-file modes of PyInstaller and
# Nuitka start a child process from a launcher, which instances must not do.
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/setup.sh
bin="$(cd "${CHIVEFALL_VENV:-.venv}" && pwd)/bin"
output="${1:-dist/chivefall}"
mkdir -p "$(dirname "$output")"
rm -rf build # setuptools would include files that were deleted since the last build
PATH="$bin:$PATH" shiv --reproducible --console-script chivefall --output-file "$output" .
