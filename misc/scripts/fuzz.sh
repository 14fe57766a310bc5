#!/usr/bin/env bash
# Builds the fuzzers with clang and runs each for SECONDS (60 without) on its
# small corpus. Exits with 1 where one finds a fault; its input is kept in
# build-fuzz/. Usage: fuzz.sh [SECONDS]
set -uo pipefail
cd "$(dirname "$0")/../.."
seconds=${1:-60}
misc/scripts/install.sh clang || exit 1
directory=build-fuzz
CXX=clang++ cmake -S . -B "$directory" -G Ninja -DKNAPWEEDLIFT_FUZZ=ON \
  -DKNAPWEEDLIFT_SANITIZE=fuzzer-no-link,address,undefined >/dev/null &&
  cmake --build "$directory" >"$directory/build.log" 2>&1 ||
  { tail "$directory/build.log"; exit 1; }
failed=0
for fuzzer in packet store_response fleet settings; do
  found="$directory/corpus-$fuzzer"
  mkdir -p "$found"
  # What the fuzzer learns goes into the first directory. Fleet messages have
  # no corpus: the fuzzer makes its own.
  corpora=("$found")
  [ ! -d "tests/fuzz/corpus/$fuzzer" ] || corpora+=("tests/fuzz/corpus/$fuzzer")
  if "$directory/tests/fuzz/${fuzzer}_fuzz" -max_total_time="$seconds" -seed=1 \
    -artifact_prefix="$directory/$fuzzer-" -print_final_stats=1 \
    "${corpora[@]}" >"$directory/$fuzzer.log" 2>&1; then
    runs=$(sed -n 's/^stat::number_of_executed_units: *//p' "$directory/$fuzzer.log")
    echo "$fuzzer: no fault in $runs runs"
  else
    echo "$fuzzer: fault, see $directory/$fuzzer.log"
    failed=1
  fi
done
exit "$failed"
