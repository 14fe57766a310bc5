#!/usr/bin/env bash
# Installs the build dependencies and builds into $BUILD_DIRECTORY (default:
# build/). Arguments are passed to cmake.
set -euo pipefail
cd "$(dirname "$0")/../.."
misc/scripts/install.sh
build_directory=${BUILD_DIRECTORY:-build}
cmake -S . -B "$build_directory" -G Ninja "$@" >/dev/null
cmake --build "$build_directory"
