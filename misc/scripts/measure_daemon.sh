#!/usr/bin/env bash
# Starts a fleet and prints, for one daemon: share of a core, resident memory and
# control bytes a second. With bucket tables (geneve) there is no traffic, with
# marks a little; the daemon is then one that does not watch the platform.
# Usage: measure_daemon.sh VMS SECONDS [geneve|marks]
set -euo pipefail
cd "$(dirname "$0")/../.."
vms=${1:-14}
seconds=${2:-20}
transport=${3:-geneve}
settle_seconds=8
binary=build/main/knapweedlift
lab=build/lab/knapweedlift-lab
run=$(mktemp -d)
processes=()
trap 'kill "${processes[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$run"' EXIT
address() { sed -n "s/^$1=//p" "$run/addresses.sh"; }
start() {
  "$@" &
  processes+=($!)
}
case "$transport" in
  geneve)
    measured=1
    "$lab" plan --directory "$run" --tenant mondego --vms "$vms"
    start "$lab" platform --listen "$(address platform)" \
      --sheet "$run/sheet-1.json" --vm-list "$run/vms-1.json"
    ;;
  marks)
    # The youngest VM does not watch.
    measured=$vms
    # The first fifth of the lab's time has no changes.
    start "$lab" marks --directory "$run" --vms "$vms" \
      --seconds "$((5 * (seconds + settle_seconds)))" --result "$run/world.json"
    until [ -s "$run/addresses.sh" ]; do sleep 0.1; done
    ;;
  *) echo "the transport is geneve or marks"; exit 2 ;;
esac
for ((i = 1; i <= vms; i++)); do
  start "$binary" serve --settings "$run/vm-$i.toml" >"$run/log-$i"
done
id=${processes[measured]}
sent() {
  "$binary" status --admin "$(address "admin_$measured")" --json |
    sed -n 's/.*"control_sent_bytes": \([0-9]*\).*/\1/p'
}
# Nanoseconds on a processor, of all threads.
used() { cat "/proc/$id/task/"*/schedstat | awk '{sum += $1} END {printf "%d\n", sum}'; }
sleep "$settle_seconds"
used_before=$(used)
sent_before=$(sent)
sleep "$seconds"
sent_after=$(sent)
used_after=$(used)
awk -v t="$((used_after - used_before))" -v b="$((sent_after - sent_before))" \
  -v s="$seconds" -v vms="$vms" \
  -v rss="$(sed -n 's/VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$id/status")" \
  'BEGIN { printf "vms %d  core share %.3f%%  resident %.1f MB  control %.0f B/s\n", vms, t / 1e7 / s, rss / 1024, b / s }'
