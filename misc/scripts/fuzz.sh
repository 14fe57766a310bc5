#!/usr/bin/env bash
# Builds the fuzzers with clang and runs them side by side, starting from their
# seed corpora. Exits with 1 if any fuzzer finds a fault and stores the input
# that triggers it in build-fuzz/. The last line is "N passed, N failed".
# Usage: fuzz.sh [SECONDS | quick]. The default is 60 seconds; quick runs a
# fixed number of inputs, so that the verdict is always the same.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ "${1:-}" = quick ]; then
  limit=-runs=20000
else
  limit=-max_total_time=${1:-60}
fi
# The runtime of the sanitizers and of libFuzzer is only recommended by clang.
misc/scripts/install.sh clang libclang-rt-14-dev || exit 1
build_directory=build-fuzz
CXX=clang++ cmake -S . -B "$build_directory" -G Ninja -DKNAPWEEDLIFT_FUZZ=ON \
  -DKNAPWEEDLIFT_SANITIZE=fuzzer-no-link,address,undefined >/dev/null &&
  cmake --build "$build_directory" >"$build_directory/build.log" 2>&1 ||
  { tail "$build_directory/build.log"; exit 1; }
"$build_directory/tests/fuzz/make_corpus" "$build_directory/made" || exit 1
fuzzers=(packet store_response fleet settings sheet)
# Longer than the nested entry of review/1, which libFuzzer's default cuts off.
max_input_bytes=65536
declare -A processes
for fuzzer in "${fuzzers[@]}"; do
  new_corpus="$build_directory/corpus-$fuzzer"
  mkdir -p "$new_corpus"
  # The fuzzer writes new inputs to the first corpus directory.
  corpora=("$new_corpus")
  for seeds in "tests/fuzz/corpus/$fuzzer" "$build_directory/made/$fuzzer"; do
    [ ! -d "$seeds" ] || corpora+=("$seeds")
  done
  "$build_directory/tests/fuzz/${fuzzer}_fuzz" "$limit" -seed=1 \
    -max_len="$max_input_bytes" -dict=tests/fuzz/json.dict \
    -artifact_prefix="$build_directory/$fuzzer-" -print_final_stats=1 \
    "${corpora[@]}" >"$build_directory/$fuzzer.log" 2>&1 &
  processes[$fuzzer]=$!
done
failed=0
for fuzzer in "${fuzzers[@]}"; do
  log="$build_directory/$fuzzer.log"
  if wait "${processes[$fuzzer]}"; then
    run_count=$(sed -n 's/^stat::number_of_executed_units: *//p' "$log")
    coverage=$(sed -n 's/.* cov: \([0-9]*\).*/\1/p' "$log" | tail -n 1)
    echo "$fuzzer: no fault found in $run_count runs, $coverage points covered"
  else
    echo "$fuzzer: fault found, see $log"
    failed=$((failed + 1))
  fi
done
echo "$((${#fuzzers[@]} - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
