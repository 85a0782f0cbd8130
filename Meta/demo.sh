#!/usr/bin/env bash
# Runs small versions of both deployments of the users on loopback for a limited
# time, during which one replica is killed and another one is a straggler. Prints
# one line event=demo.finished at the end. The exit code is 0 only if all answers
# were correct, none was lost, no action ran twice, and no action ran that was
# reported as not run.
#
# With --break wrong-reply one fake backend server sends documents of another
# version under the requested one, to show that the demonstration can fail.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-Build}
. Meta/fleet.sh

ENTRIES=3
CONTROLS=3
DURATION_MS=${DEMO_DURATION_MS:-8000}
BROKEN=${2:-none}

start_backends() {
    local shard suffix
    for ((shard = 0; shard < 8; ++shard)); do
        for suffix in a b; do
            local extra=()
            if [ "$shard" -eq 3 ] && [ "$suffix" = a ]; then
                extra=(--straggler-permille 200)
            fi
            if [ "$shard" -eq 5 ] && [ "$BROKEN" = wrong-reply ]; then
                extra=(--wrong-reply stale-content)
            fi
            fleet_start_backend catalogue "$shard" 8 "$suffix" "$ENTRIES" --open-cost-us 6000 "${extra[@]}"
            fleet_start_backend hotline "$shard" 8 "$suffix" "$ENTRIES" --open-cost-us 6000 --service-time-us 3000
        done
    done
    for suffix in a b c; do
        fleet_start_backend ledger 0 1 "$suffix" "$ENTRIES" --slots 4 --connection-cap 120 --open-cost-us 1000
        fleet_start_backend slicing 0 1 "$suffix" "$ENTRIES" --slots 4 --connection-cap 120 --open-cost-us 1000 --action-log "${FLEET_FOLDER}/actions-slicing-${suffix}.txt"
    done
    for suffix in a b; do
        fleet_start_backend reports 0 1 "$suffix" "$ENTRIES" --slots 4 --connection-cap 45 --open-cost-us 1000 --service-time-us 20000
        fleet_start_backend invoicing 0 1 "$suffix" "$ENTRIES" --slots 4 --connection-cap 45 --open-cost-us 1000 --action-log "${FLEET_FOLDER}/actions-invoicing-${suffix}.txt"
    done
}

fleet_begin
fleet_start_instances "$CONTROLS" "$ENTRIES" Meta/Demo/configuration.json
start_backends
fleet_await_backends "$ENTRIES" 42

(
    sleep 2
    kill -KILL "${FLEET_PID_OF[catalogue-1-b]}"
) &
FLEET_PIDS+=("$!")

TARGETS=$(fleet_list "$ENTRIES" fleet_target)
"${BUILD}/Utilities/crankload/crankload" --targets "$TARGETS" --expected-ready "$ENTRIES" --duration-ms "$DURATION_MS" \
    --not-run-log "${FLEET_FOLDER}/not-run.txt" --log-level warning \
    --streams catalogue:search:40:800,hotline:search:40:300,ledger:lookup:40:800,reports:search:5:3000,slicing:action:20:2000,invoicing:action:10:2000 \
    | tee "${FLEET_FOLDER}/load.txt"

fleet_ctl "$CONTROLS" status
TOTAL=$(tail -n 1 "${FLEET_FOLDER}/load.txt")
ANSWERED=$(fleet_field "$TOTAL" answered)
MIXED=$(fleet_field "$TOTAL" mixed_snapshots)
WRONG=$(fleet_field "$TOTAL" wrong_answers)
LOST=$(fleet_field "$TOTAL" lost)
DUPLICATES=$(fleet_duplicate_actions)
FALSE_NOT_RUN=$(fleet_false_not_run)
SEARCHES=$(grep 'kind=search' "${FLEET_FOLDER}/load.txt" | sed 's/.* answered=\([0-9]*\).*/\1/' | awk '{ sum += $1 } END { print sum + 0 }')
P99=$(fleet_field "$TOTAL" p99_ms)
COVERED=$(fleet_field "$TOTAL" covered_pct)
echo "event=demo.finished searches=${SEARCHES} answered=${ANSWERED} lost=${LOST} p99_ms=${P99} covered_pct=${COVERED} mixed_snapshots=${MIXED} doubled_actions=${DUPLICATES} false_not_run=${FALSE_NOT_RUN} wrong_answers=${WRONG}"
[ "$SEARCHES" -gt 0 ] && [ "$MIXED" -eq 0 ] && [ "$DUPLICATES" -eq 0 ] && [ "$FALSE_NOT_RUN" -eq 0 ] && [ "$WRONG" -eq 0 ] && [ "$LOST" -eq 0 ]
