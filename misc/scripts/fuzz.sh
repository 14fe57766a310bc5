#!/usr/bin/env bash
# Builds the fuzzers with clang and runs each for SECONDS (default: 60),
# starting from its seed corpus. Exits with 1 if any fuzzer finds a fault and
# stores the input that triggers it in build-fuzz/. Usage: fuzz.sh [SECONDS]
set -uo pipefail
cd "$(dirname "$0")/../.."
duration_s=${1:-60}
misc/scripts/install.sh clang || exit 1
build_directory=build-fuzz
CXX=clang++ cmake -S . -B "$build_directory" -G Ninja -DKNAPWEEDLIFT_FUZZ=ON \
  -DKNAPWEEDLIFT_SANITIZE=fuzzer-no-link,address,undefined >/dev/null &&
  cmake --build "$build_directory" >"$build_directory/build.log" 2>&1 ||
  { tail "$build_directory/build.log"; exit 1; }
fault_found=0
for fuzzer in packet store_response fleet settings; do
  new_corpus="$build_directory/corpus-$fuzzer"
  mkdir -p "$new_corpus"
  # The fuzzer writes new inputs to the first corpus directory. Fleet messages
  # have no seed corpus; their fuzzer starts from an empty one.
  corpora=("$new_corpus")
  [ ! -d "tests/fuzz/corpus/$fuzzer" ] || corpora+=("tests/fuzz/corpus/$fuzzer")
  if "$build_directory/tests/fuzz/${fuzzer}_fuzz" -max_total_time="$duration_s" -seed=1 \
    -artifact_prefix="$build_directory/$fuzzer-" -print_final_stats=1 \
    "${corpora[@]}" >"$build_directory/$fuzzer.log" 2>&1; then
    run_count=$(sed -n 's/^stat::number_of_executed_units: *//p' "$build_directory/$fuzzer.log")
    echo "$fuzzer: no fault found in $run_count runs"
  else
    echo "$fuzzer: fault found, see $build_directory/$fuzzer.log"
    fault_found=1
  fi
done
exit "$fault_found"
