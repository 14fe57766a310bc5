#!/usr/bin/env bash
# Installs what is needed and builds into build/. Arguments go to cmake.
set -euo pipefail
cd "$(dirname "$0")/../.."
misc/scripts/install.sh
build_directory=${BUILD_DIRECTORY:-build}
cmake -S . -B "$build_directory" -G Ninja "$@" >/dev/null
cmake --build "$build_directory"
