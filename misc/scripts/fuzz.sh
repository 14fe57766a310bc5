#!/usr/bin/env bash
# Builds the fuzzers with clang and runs each for SECONDS (60 without) on its
# small corpus. Exits with 1 where one finds a fault; its input is kept in
# build-fuzz/. Usage: fuzz.sh [SECONDS]
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
  # What the fuzzer learns goes into the first build_directory. Fleet messages have
  # no corpus: the fuzzer makes its own.
  corpora=("$new_corpus")
  [ ! -d "tests/fuzz/corpus/$fuzzer" ] || corpora+=("tests/fuzz/corpus/$fuzzer")
  if "$build_directory/tests/fuzz/${fuzzer}_fuzz" -max_total_time="$duration_s" -seed=1 \
    -artifact_prefix="$build_directory/$fuzzer-" -print_final_stats=1 \
    "${corpora[@]}" >"$build_directory/$fuzzer.log" 2>&1; then
    run_count=$(sed -n 's/^stat::number_of_executed_units: *//p' "$build_directory/$fuzzer.log")
    echo "$fuzzer: no fault in $run_count runs"
  else
    echo "$fuzzer: fault, see $build_directory/$fuzzer.log"
    fault_found=1
  fi
done
exit "$fault_found"
