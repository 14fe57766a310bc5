#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into
# review/build-2/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-2
echo '*' >build-2/.gitignore
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers \
  -o build-2/world standins-2/*.cc
