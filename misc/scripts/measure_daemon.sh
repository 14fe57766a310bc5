#!/usr/bin/env bash
# Starts a fleet and prints the share of a core, resident memory and control
# bytes per second of one daemon. With bucket tables (geneve) the fleet carries no
# traffic; with marks it carries a little, and the measured daemon is one that
# does not watch the platform.
# Usage: measure_daemon.sh VMS SECONDS [geneve|marks]
set -euo pipefail
cd "$(dirname "$0")/../.."
vms=${1:-14}
duration_s=${2:-20}
transport=${3:-geneve}
settle_s=8
binary=build/main/knapweedlift
lab=build/lab/knapweedlift-lab
work_directory=$(mktemp -d)
process_ids=()
trap 'kill "${process_ids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$work_directory"' EXIT
read_address() { sed -n "s/^$1=//p" "$work_directory/addresses.sh"; }
start() {
  "$@" &
  process_ids+=($!)
}
case "$transport" in
  geneve)
    measured_vm=1
    "$lab" plan --directory "$work_directory" --tenant mondego --vms "$vms"
    start "$lab" platform --listen "$(read_address platform)" \
      --sheet "$work_directory/sheet-1.json" --vm-list "$work_directory/vms-1.json"
    ;;
  marks)
    # The VM that starts last does not watch the platform.
    measured_vm=$vms
    # The lab changes nothing during the first fifth of its run time, which covers
    # the whole measurement.
    start "$lab" marks --directory "$work_directory" --vms "$vms" \
      --seconds "$((5 * (duration_s + settle_s)))" --result "$work_directory/simulation.json"
    until [ -s "$work_directory/addresses.sh" ]; do sleep 0.1; done
    ;;
  *) echo "unknown transport $transport; expected geneve or marks"; exit 2 ;;
esac
for ((i = 1; i <= vms; i++)); do
  start "$binary" serve --settings "$work_directory/vm-$i.toml" >"$work_directory/log-$i"
done
daemon_pid=${process_ids[measured_vm]}
read_control_bytes() {
  "$binary" status --admin "$(read_address "admin_$measured_vm")" --json |
    sed -n 's/.*"control_sent_bytes": \([0-9]*\).*/\1/p'
}
# Processor time of all threads of the measured daemon, in nanoseconds.
read_cpu_time_ns() { cat "/proc/$daemon_pid/task/"*/schedstat | awk '{sum += $1} END {printf "%d\n", sum}'; }
sleep "$settle_s"
cpu_time_before_ns=$(read_cpu_time_ns)
control_bytes_before=$(read_control_bytes)
sleep "$duration_s"
control_bytes_after=$(read_control_bytes)
cpu_time_after_ns=$(read_cpu_time_ns)
awk -v cpu_ns="$((cpu_time_after_ns - cpu_time_before_ns))" -v bytes="$((control_bytes_after - control_bytes_before))" \
  -v seconds="$duration_s" -v vms="$vms" \
  -v rss_kb="$(sed -n 's/VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$daemon_pid/status")" \
  'BEGIN { printf "vms %d  core share %.3f%%  resident %.1f MB  control %.0f B/s\n", vms, cpu_ns / 1e7 / seconds, rss_kb / 1024, bytes / seconds }'
