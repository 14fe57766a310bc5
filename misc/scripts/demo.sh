#!/usr/bin/env bash
# Runs deployments at reduced size on loopback, changes them under traffic and
# prints a report: one deployment with bucket tables (Geneve) for each of the two
# tenants, and one deployment with marked packets. Exits with 1 if a guarantee
# was violated.
set -euo pipefail
cd "$(dirname "$0")/../.."
misc/scripts/build.sh | tail -n 1
binary=build/main/knapweedlift
lab=build/lab/knapweedlift-lab
work_directory=$(mktemp -d)
vms=${DEMO_VMS:-6}
duration_s=${DEMO_SECONDS:-50}
tenants=(mondego cuna)
declare -A process_ids
stop_processes() {
  for id in "${process_ids[@]}"; do kill -CONT "$id" 2>/dev/null || true; kill "$id" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap 'stop_processes; rm -rf "$work_directory"' EXIT
log_step() { printf '%(%H:%M:%S)T  %s\n' -1 "$1"; }

# Prints the address named $2 of the deployment of tenant $1.
read_address() { sed -n "s/^$2=//p" "$work_directory/$1/addresses.sh"; }

start() {
  local name=$1
  shift
  "$@" >"$work_directory/$name.log" 2>&1 &
  process_ids[$name]=$!
}

start_geneve_tenant() {
  local tenant=$1 tenant_directory=$work_directory/$1
  "$lab" plan --directory "$tenant_directory" --tenant "$tenant" --vms "$vms"
  start "$tenant-platform" "$lab" platform --listen "$(read_address "$tenant" platform)" \
    --sheet "$tenant_directory/sheet-1.json" --vm-list "$tenant_directory/vms-1.json"
  start "$tenant-backends" "$lab" backends --sheet "$tenant_directory/sheet-all.json" \
    --platform "$(read_address "$tenant" platform)" --callers "$(read_address "$tenant" callers)" \
    --result "$tenant_directory/backends.json"
  for ((i = 1; i <= vms; i++)); do
    start "$tenant-vm-$i" "$binary" serve --settings "$tenant_directory/vm-$i.toml"
  done
  start "$tenant-fabric" "$lab" fabric --listen "$(read_address "$tenant" fabric)" \
    --platform "$(read_address "$tenant" platform)" --loss 0.001 --reorder 0.01
}

wait_until_serving() {
  for ((i = 1; i <= vms; i++)); do
    for ((attempt = 0; attempt < 100; attempt++)); do
      "$binary" status --admin "$(read_address "$1" "admin_$i")" --json 2>/dev/null |
        grep -q '"fresh": true' && break
      sleep 0.2
    done
  done
}

start_callers() {
  start "$1-caller" "$lab" caller --listen "$(read_address "$1" callers)" \
    --fabric "$(read_address "$1" fabric)" --sheet "$work_directory/$1/sheet-1.json" \
    --result "$work_directory/$1/caller.json" --long 300 --short-rate 50 --seconds "$duration_s"
}

post_update() { "$lab" post --to "$(read_address "$1" platform)" --target "$2" --file "$work_directory/$1/$3"; }

# Prints the control bytes that VM $2 of tenant $1 has sent since its start.
read_control_bytes() {
  "$binary" status --admin "$(read_address "$1" "admin_$2")" --json |
    sed -n 's/.*"control_sent_bytes": \([0-9]*\).*/\1/p'
}

start_mark_deployment() {
  start marks-simulation "$lab" marks --directory "$work_directory/marks" --vms "$vms" \
    --seconds "$((duration_s - 10))" --result "$work_directory/marks/simulation.json"
  for ((attempt = 0; attempt < 100; attempt++)); do
    [ -s "$work_directory/marks/addresses.sh" ] && break
    sleep 0.1
  done
  for ((i = 1; i <= vms; i++)); do
    start "marks-vm-$i" "$binary" serve --settings "$work_directory/marks/vm-$i.toml"
  done
}

log_step "starting a deployment of $vms VMs with marked packets"
start_mark_deployment
log_step "starting ${#tenants[@]} deployments of $vms VMs each with bucket tables"
for tenant in "${tenants[@]}"; do start_geneve_tenant "$tenant"; done
for tenant in "${tenants[@]}"; do wait_until_serving "$tenant"; done
log_step "all VMs are serving; callers start 300 long flows and 50 short flows per second for each service"
declare -A bytes_before
for tenant in "${tenants[@]}"; do
  bytes_before[$tenant]=$(read_control_bytes "$tenant" 3)
  start_callers "$tenant"
done
traffic_started_s=$SECONDS
sleep 9
log_step "sheet 2: adds a backend server to each service"
for tenant in "${tenants[@]}"; do post_update "$tenant" /admin/sheet sheet-2.json; done
sleep 9
log_step "sheet 3: drains the first backend server of each service"
for tenant in "${tenants[@]}"; do post_update "$tenant" /admin/sheet sheet-3.json; done
sleep 9
log_step "killing VM 1 of each deployment; the platform detects it 1 s later"
for tenant in "${tenants[@]}" marks; do kill -KILL "${process_ids[$tenant-vm-1]}"; done
sleep 1
for tenant in "${tenants[@]}"; do post_update "$tenant" /admin/vms vms-2.json; done
sleep 7
log_step "stopping VM 2 of each deployment gracefully"
for tenant in "${tenants[@]}"; do
  kill -TERM "${process_ids[$tenant-vm-2]}"
  post_update "$tenant" /admin/vms vms-3.json
done
kill -TERM "${process_ids[marks-vm-2]}"
for tenant in "${tenants[@]}" marks; do
  if wait "${process_ids[$tenant-vm-2]}"; then log_step "VM 2 of $tenant drained and exited with 0"; else
    log_step "VM 2 of $tenant exited with a non-zero code"
    exit 1
  fi
done
log_step "status of VM 3 of the deployment with marked packets:"
"$binary" status --admin "$(read_address marks admin_3)"
for tenant in "${tenants[@]}"; do wait "${process_ids[$tenant-caller]}"; done
wait "${process_ids[marks-simulation]}"
elapsed_s=$((SECONDS - traffic_started_s))
log_step "callers have finished; status of VM 3 of mondego:"
"$binary" status --admin "$(read_address mondego admin_3)"
total_bytes=0
for tenant in "${tenants[@]}"; do
  total_bytes=$((total_bytes + $(read_control_bytes "$tenant" 3) - bytes_before[$tenant]))
done
stop_processes
process_ids=()
echo
result_files=()
result_files+=("$work_directory/marks/simulation.json")
for tenant in "${tenants[@]}"; do result_files+=("$work_directory/$tenant/caller.json" "$work_directory/$tenant/backends.json"); done
"$lab" report --control-bytes "$((total_bytes / elapsed_s / ${#tenants[@]}))" "${result_files[@]}"
