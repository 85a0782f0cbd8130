#!/usr/bin/env bash
# Measures the cost slopes in docs/CAPACITY.md: inside one process, and of an entry
# instance that answers searches over HTTP with 8 and with 58 shards.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-Build}
. Meta/fleet.sh

"${BUILD}/Utilities/crankmeasure/crankmeasure" --mode slopes --log-level error

# Measures the processor time of an entry instance per search: measure_entry SHARDS RATE
measure_entry() {
    local shards=$1 rate=$2 before after line
    fleet_begin
    fleet_start_control 0
    sed "s/\"name\": \"catalogue\", \"shards\": 8/\"name\": \"catalogue\", \"shards\": ${shards}/" Meta/Demo/configuration.json >"${FLEET_FOLDER}/configuration.json"
    fleet_declare 1 "${FLEET_FOLDER}/configuration.json" >/dev/null 2>&1
    fleet_start_entry 0 1 1
    for suffix in a b; do
        fleet_start "catalogue-${suffix}" "${BUILD}/Utilities/fakebackendd/fakebackendd" --service catalogue --shard-count "$shards" --hosted-shards "$shards" \
            --replica-suffix "$suffix" --listen "${FLEET_HOST}:${FLEET_BACKEND_PORT}" --announce-to "$(fleet_announce_address 0)" --service-time-us 2000
        FLEET_BACKEND_PORT=$((FLEET_BACKEND_PORT + shards))
    done
    fleet_await_backends 1 $((2 * shards))
    before=$(awk '{ print $14 + $15 }' "/proc/${FLEET_PID_OF[entry-0]}/stat")
    "${BUILD}/Utilities/crankload/crankload" --targets "$(fleet_target 0)" --duration-ms 6000 --log-level error --streams "catalogue:search:${rate}" >"${FLEET_FOLDER}/load.txt"
    after=$(awk '{ print $14 + $15 }' "/proc/${FLEET_PID_OF[entry-0]}/stat")
    line=$(tail -n 1 "${FLEET_FOLDER}/load.txt")
    awk -v ticks=$((after - before)) -v searches="$(fleet_field "$line" answered)" -v shards="$shards" -v p99="$(fleet_field "$line" p99_ms)" -v rss="$(awk '/VmRSS/ { print $2 }' "/proc/${FLEET_PID_OF[entry-0]}/status")" \
        'BEGIN { printf "event=measure.entry shards=%d searches=%d us_per_search=%.0f us_per_sub_request=%.0f p99_ms=%s resident_kb=%d\n", shards, searches, ticks * 10000 / searches, ticks * 10000 / searches / shards, p99, rss }'
    fleet_end
    trap - EXIT
    FLEET_PIDS=()
}

measure_entry 8 100
measure_entry 58 20
