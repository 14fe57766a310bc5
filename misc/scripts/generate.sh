#!/usr/bin/env bash
# Generates drivers/gen from the Thrift files in drivers/. Requires the package
# thrift-compiler. The generated files are committed, so the build does not
# require it.
set -euo pipefail
cd "$(dirname "$0")/../.."
for file in drivers/*.thrift; do
  thrift -r --gen cpp:no_skeleton,moveable_types -out drivers/gen "$file"
done
