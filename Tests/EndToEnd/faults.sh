#!/usr/bin/env bash
# Runs a fleet of processes under load with one kind of fault: kills (SIGKILL of
# the leader of the control instances, an entry instance and a replica), pauses
# (SIGSTOP of the leader and of an entry instance for seconds), or a rolling
# restart of all entry and control instances. Checks that answers are correct, that
# no action runs twice, and that none runs that was reported as not run. Times are
# not checked.
set -euo pipefail
cd "$(dirname "$0")/../.."
: "${BUILD:?}"
. Meta/fleet.sh
KIND=$1
ENTRIES=3
CONTROLS=3

# Prints the leader's number. Fails if there is none within 5 s, since the test cannot go on without a leader.
leader_index() {
    local tries leader
    for ((tries = 0; tries < 50; ++tries)); do
        leader=$(fleet_leader "$CONTROLS")
        if [ -n "$leader" ]; then
            echo "$leader"
            return
        fi
        sleep 0.1
    done
    return 1
}

start_fleet() {
    local shard suffix
    fleet_start_instances "$CONTROLS" "$ENTRIES" Meta/Demo/configuration.json >/dev/null
    for suffix in a b; do
        for ((shard = 0; shard < 8; ++shard)); do
            fleet_start_backend catalogue "$shard" 8 "$suffix" "$ENTRIES"
        done
        fleet_start_backend slicing 0 1 "$suffix" "$ENTRIES" --slots 4 --connection-cap 120 --action-log "${FLEET_FOLDER}/actions-${suffix}.txt"
    done
    fleet_await_backends "$ENTRIES" 18
}

faults_kills() {
    local leader
    sleep 1
    leader=$(leader_index)
    fleet_stop "control-${leader}" KILL
    sleep 1
    fleet_stop entry-1 KILL
    fleet_stop catalogue-2-a KILL
    sleep 1
    fleet_start_control "$leader"
    fleet_start_entry 1 "$ENTRIES" "$CONTROLS"
    sleep 2
    leader=$(leader_index)
    fleet_stop "control-${leader}" KILL
    fleet_start_control "$leader"
}

faults_pauses() {
    local leader
    sleep 1
    leader=$(leader_index)
    kill -STOP "${FLEET_PID_OF[control-${leader}]}"
    sleep 2
    kill -STOP "${FLEET_PID_OF[entry-2]}"
    sleep 2
    kill -CONT "${FLEET_PID_OF[control-${leader}]}"
    kill -CONT "${FLEET_PID_OF[entry-2]}"
}

faults_rolling() {
    local index
    for ((index = 0; index < CONTROLS; ++index)); do
        "${BUILD}/Utilities/crankctl/crankctl" --control "$(fleet_operator_address "$index")" drain
        wait "${FLEET_PID_OF[control-${index}]}"
        fleet_start_control "$index"
        sleep 2
    done
    for ((index = 0; index < ENTRIES; ++index)); do
        curl -s -X POST "http://$(fleet_admin_address "$index")/v1/drain" >/dev/null
        wait "${FLEET_PID_OF[entry-${index}]}"
        fleet_start_entry "$index" "$ENTRIES" "$CONTROLS"
        sleep 2
    done
}

fleet_begin
start_fleet
DURATION_MS=8000
[ "$KIND" = rolling ] && DURATION_MS=16000
fleet_start load "${BUILD}/Utilities/crankload/crankload" --targets "$(fleet_list "$ENTRIES" fleet_target)" --expected-ready "$ENTRIES" \
    --duration-ms "$DURATION_MS" --not-run-log "${FLEET_FOLDER}/not-run.txt" --log-level warning --streams catalogue:search:30,slicing:action:30
"faults_${KIND}"
if ! wait "${FLEET_PID_OF[load]}"; then
    tail -n 5 "${FLEET_FOLDER}/load.log"
    exit 1
fi
cat "${FLEET_FOLDER}/load.out"

TOTAL=$(tail -n 1 "${FLEET_FOLDER}/load.out")
DUPLICATES=$(fleet_duplicate_actions)
FALSE_NOT_RUN=$(fleet_false_not_run)
ANSWERED=$(fleet_field "$TOTAL" answered)
BROKEN=$((DUPLICATES + FALSE_NOT_RUN + $(fleet_field "$TOTAL" mixed_snapshots) + $(fleet_field "$TOTAL" wrong_answers)))
if [ "$KIND" = rolling ]; then
    # A planned stop must neither lose requests in flight nor refuse new ones.
    BROKEN=$((BROKEN + $(fleet_field "$TOTAL" lost) + $(fleet_field "$TOTAL" refused_unknown) + $(fleet_field "$TOTAL" refused_not_run)))
fi
echo "event=faults.finished kind=${KIND} answered=${ANSWERED} lost=$(fleet_field "$TOTAL" lost) doubled_actions=${DUPLICATES} false_not_run=${FALSE_NOT_RUN} broken=${BROKEN}"
if [ "$ANSWERED" -eq 0 ] || [ "$BROKEN" -ne 0 ]; then
    grep -h request.refused "${FLEET_FOLDER}"/entry-*.log | grep -v in-progress | head -n 20
    tail -n 5 "${FLEET_FOLDER}"/entry-*.log "${FLEET_FOLDER}"/control-*.log
    exit 1
fi
