#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -o build/world standins/*.cc
