#!/usr/bin/env bash
# Measures the query path with adaptive hedging (this version) and with named
# baselines in one run: fixed (hedge after 30 ms), off (no hedges) and random (no
# hedges, random replica). The fleet has 5 entry instances and one service of 50
# shards with 2 replicas of 2 slots and 40 ms per request, like the users'
# catalogue and hotline.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-Build}
. Meta/fleet.sh

ENTRIES=5
SHARDS=50
SECONDS_EACH=${TAIL_SECONDS:-6}

# Measures one case with one baseline: measure_case CASE BASELINE RATE BACKEND-ARGUMENTS…
measure_case() {
    local name=$1 baseline=$2 rate=$3 index suffix mode=() line
    shift 3
    case "$baseline" in
    adaptive) mode=(--hedging adaptive) ;;
    fixed) mode=(--hedging fixed) ;;
    off) mode=(--hedging off) ;;
    random) mode=(--hedging off --replica-choice random) ;;
    esac
    FLEET_BACKEND_PORT=22000
    fleet_begin
    fleet_start_control 0
    fleet_declare 1 Meta/Demo/tail.json >/dev/null 2>&1
    for ((index = 0; index < ENTRIES; ++index)); do
        fleet_start_entry "$index" "$ENTRIES" 1 "${mode[@]}"
    done
    for suffix in a b; do
        local extra=("$@")
        if [ "$name" = lying ] && [ "$suffix" = b ]; then
            extra=(--load-report huge)
        fi
        # Each zone has ten processes of five shards each, so that killing one process loses a tenth of a zone's replicas.
        for ((index = 0; index < 10; ++index)); do
            fleet_start "hotline-${index}-${suffix}" "${BUILD}/Utilities/fakebackendd/fakebackendd" --service hotline --shard-count "$SHARDS" --first-shard $((index * 5)) \
                --hosted-shards 5 --replica-suffix "$suffix" --zone "zone-${suffix}" --listen "${FLEET_HOST}:${FLEET_BACKEND_PORT}" \
                --announce-to "$(fleet_list "$ENTRIES" fleet_announce_address)" --service-time-us 40000 --open-cost-us 6000 --seed "$FLEET_BACKEND_PORT" "${extra[@]}"
            FLEET_BACKEND_PORT=$((FLEET_BACKEND_PORT + 5))
        done
    done
    fleet_await_backends "$ENTRIES" $((2 * SHARDS))
    # A first load opens connections and fills the latency statistics; it is not counted.
    "${BUILD}/Utilities/crankload/crankload" --targets "$(fleet_list "$ENTRIES" fleet_target)" --expected-ready "$ENTRIES" --duration-ms 3000 --log-level error \
        --streams "hotline:search:25:320" >/dev/null
    local before after
    before=$(count_attempts)
    (
        sleep 1
        case "$name" in
        replica-lost) kill -KILL "${FLEET_PID_OF[hotline-3-a]}" ;;
        zone-gone) for ((index = 0; index < 10; ++index)); do kill -KILL "${FLEET_PID_OF[hotline-${index}-b]}"; done ;;
        esac
    ) &
    "${BUILD}/Utilities/crankload/crankload" --targets "$(fleet_list "$ENTRIES" fleet_target)" --duration-ms $((SECONDS_EACH * 1000)) --log-level error \
        --streams "hotline:search:${rate}:320" >"${FLEET_FOLDER}/load.txt"
    after=$(count_attempts)
    line=$(tail -n 1 "${FLEET_FOLDER}/load.txt")
    awk -v before="$before" -v after="$after" -v name="$name" -v baseline="$baseline" -v line="${line#*event=load.finished }" \
        'BEGIN { split(before, b, " "); split(after, a, " "); first = a[1] - b[1]; extra = a[2] - b[2];
                 printf "event=measure.tail case=%s baseline=%s extra_load_pct=%.2f %s\n", name, baseline, (first > 0 ? 100 * extra / first : 0), line }'
    fleet_end 2>/dev/null
    trap - EXIT
    FLEET_PIDS=()
}

# Prints the number of first attempts and the number of hedges and retries, summed over all entry instances.
count_attempts() {
    local index
    for ((index = 0; index < ENTRIES; ++index)); do
        curl -s "http://$(fleet_admin_address "$index")/metrics"
    done | awk '/^crankrudder_attempts_total\{kind="first"\}/ { first += $2 } /^crankrudder_attempts_total\{kind="(hedge|retry)"\}/ { extra += $2 } END { print first, extra }'
}

for baseline in ${TAIL_BASELINES:-adaptive fixed off random}; do
    measure_case healthy "$baseline" 25
    measure_case stragglers "$baseline" 25 --straggler-permille 20 --straggler-factor 10
done
for baseline in ${TAIL_BASELINES:-adaptive off}; do
    measure_case replica-lost "$baseline" 25
    measure_case zone-gone "$baseline" 25
    measure_case lying "$baseline" 25
    measure_case overload "$baseline" 100
done
