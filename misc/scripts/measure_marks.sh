#!/usr/bin/env bash
# Starts a fleet whose packets carry marks under light traffic and prints, for
# one VM that does not watch the platform: share of a core, resident memory and
# control bytes a second. Usage: measure_marks.sh VMS SECONDS
set -euo pipefail
cd "$(dirname "$0")/../.."
vms=${1:-15}
seconds=${2:-20}
binary=build/main/knapweedlift
lab=build/lab/knapweedlift-lab
run=$(mktemp -d)
processes=()
trap 'kill "${processes[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$run"' EXIT
# The first fifth of its time has no changes.
"$lab" marks --directory "$run" --vms "$vms" --seconds "$((5 * (seconds + 8)))" \
  --result "$run/world.json" &
processes+=($!)
until [ -s "$run/addresses.sh" ]; do sleep 0.1; done
for ((i = 1; i <= vms; i++)); do
  "$binary" serve --settings "$run/vm-$i.toml" >"$run/log-$i" &
  processes+=($!)
done
# The last VM is the youngest, which does not watch.
id=${processes[-1]}
admin=$(sed -n "s/^admin_$vms=//p" "$run/addresses.sh")
control() {
  "$binary" status --admin "$admin" --json |
    sed -n 's/.*"control_sent_bytes": \([0-9]*\).*/\1/p'
}
# Nanoseconds on a processor, of all threads.
used() { cat "/proc/$id/task/"*/schedstat | awk '{sum += $1} END {printf "%d\n", sum}'; }
sleep 5
used_before=$(used)
sent_before=$(control)
sleep "$seconds"
sent_after=$(control)
used_after=$(used)
awk -v t="$((used_after - used_before))" -v b="$((sent_after - sent_before))" \
  -v s="$seconds" -v vms="$vms" \
  -v rss="$(sed -n 's/VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$id/status")" \
  'BEGIN { printf "vms %d  core share %.3f%%  resident %.1f MB  control %.0f B/s\n", vms, t / 1e7 / s, rss / 1024, b / s }'
