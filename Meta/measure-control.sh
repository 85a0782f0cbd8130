#!/usr/bin/env bash
# Measures the control plane with three control instances on this machine: claims, idle traffic, a change, loss of the leader, a restart.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-Build}
. Meta/fleet.sh
CONTROLS=3
ENTRIES=3

measure_claims() {
    "${BUILD}/Utilities/crankmeasure/crankmeasure" --mode claims --control "$(fleet_list "$CONTROLS" fleet_entry_address)" --log-level error "$@"
}

# Prints the processor time that a process has used, in ticks of 10 ms: ticks_of NAME
ticks_of() { awk '{ print $14 + $15 }' "/proc/${FLEET_PID_OF[$1]}/stat"; }

fleet_begin
fleet_start_instances "$CONTROLS" "$ENTRIES" Meta/Demo/configuration.json >/dev/null
fleet_await_backends "$ENTRIES" 0

measure_claims --in-flight 1 --duration-ms 3000
measure_claims --in-flight 64 --duration-ms 3000
measure_claims --in-flight 512 --duration-ms 3000

# Measures control traffic and processor time of an idle entry instance.
before=$(curl -s "http://$(fleet_admin_address 0)/metrics" | awk '/^crankrudder_control_bytes_total/ { sum += $2 } END { print sum }')
ticks_before=$(ticks_of entry-0)
sleep 10
after=$(curl -s "http://$(fleet_admin_address 0)/metrics" | awk '/^crankrudder_control_bytes_total/ { sum += $2 } END { print sum }')
ticks_after=$(ticks_of entry-0)
awk -v b="$before" -v a="$after" -v tb="$ticks_before" -v ta="$ticks_after" \
    'BEGIN { printf "event=measure.entry_idle control_bytes_per_s=%.0f processor_pct=%.2f\n", (a - b) / 10, (ta - tb) / 10 }'

# Measures the time of a change from the operator's call until every entry instance has confirmed it.
sed 's/"maximum_entry_instances": 10/"maximum_entry_instances": 9/' Meta/Demo/configuration.json >"${FLEET_FOLDER}/changed.json"
started=$(date +%s%N)
fleet_ctl "$CONTROLS" apply "${FLEET_FOLDER}/changed.json" >/dev/null 2>&1
accepted=$(date +%s%N)
while [ "$(fleet_ctl "$CONTROLS" status 2>/dev/null | grep -c 'confirmed_revision=2')" -lt "$ENTRIES" ]; do
    sleep 0.02
done
confirmed=$(date +%s%N)
echo "event=measure.change accepted_ms=$(((accepted - started) / 1000000)) in_force_everywhere_ms=$(((confirmed - started) / 1000000))"

# Measures the longest time without a granted claim while the leader is killed.
measure_claims --in-flight 16 --duration-ms 8000 &
sleep 2
leader=$(fleet_leader "$CONTROLS")
fleet_stop "control-${leader}" KILL
wait $!
fleet_start_control "$leader"

# Measures the restart of a control instance after 200 changes.
for ((change = 0; change < 100; ++change)); do
    fleet_ctl "$CONTROLS" apply Meta/Demo/configuration.json >/dev/null 2>&1
    fleet_ctl "$CONTROLS" apply "${FLEET_FOLDER}/changed.json" >/dev/null 2>&1
done
revision=$(fleet_ctl "$CONTROLS" status 2>/dev/null | sed -n 's/.* revision=\([0-9]*\) .*confirmed=yes.*/\1/p' | tail -n 1)
fleet_stop control-1 KILL
started=$(date +%s%N)
fleet_start_control 1
while ! "${BUILD}/Utilities/crankctl/crankctl" --control "$(fleet_operator_address 1)" status 2>/dev/null | grep -q " revision=${revision} "; do
    sleep 0.02
done
echo "event=measure.restart changes=${revision} folder_bytes=$(du -sb "${FLEET_FOLDER}/data-1" | cut -f 1) current_after_ms=$((($(date +%s%N) - started) / 1000000))"
