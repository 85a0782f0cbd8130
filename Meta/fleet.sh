# Functions that start and stop a small fleet on loopback, sourced by the
# demonstration, the measurements and the end-to-end tests. At the end the started
# processes are stopped by their process ids.

FLEET_HOST=127.0.0.1
FLEET_CONTROL_PORT=21000
FLEET_ENTRY_PORT=21200
FLEET_BACKEND_PORT=22000
FLEET_PIDS=()
declare -A FLEET_PID_OF=()

fleet_begin() {
    FLEET_FOLDER=$(mktemp -d)
    trap fleet_end EXIT
}

# Starts a program in the background: fleet_start NAME PROGRAM ARGUMENTS…
fleet_start() {
    local name=$1
    shift
    "$@" >>"${FLEET_FOLDER}/${name}.out" 2>>"${FLEET_FOLDER}/${name}.log" &
    FLEET_PIDS+=("$!")
    FLEET_PID_OF[$name]=$!
}

# Ends one process and waits for it: fleet_stop NAME [SIGNAL]
fleet_stop() {
    local pid=${FLEET_PID_OF[$1]}
    kill -"${2:-TERM}" "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
}

fleet_end() {
    local pid
    for pid in "${FLEET_PIDS[@]}"; do
        kill -TERM "$pid" 2>/dev/null || true
        kill -CONT "$pid" 2>/dev/null || true
    done
    local deadline=$((SECONDS + 8))
    for pid in "${FLEET_PIDS[@]}"; do
        while kill -0 "$pid" 2>/dev/null && [ "$SECONDS" -lt "$deadline" ]; do
            sleep 0.05
        done
        kill -KILL "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    if [ "${FLEET_KEEP:-no}" = no ]; then
        rm -rf "$FLEET_FOLDER"
    else
        echo "kept ${FLEET_FOLDER}" >&2
    fi
}

fleet_operator_address() { echo "${FLEET_HOST}:$((FLEET_CONTROL_PORT + $1 * 10))"; }
fleet_entry_address() { echo "${FLEET_HOST}:$((FLEET_CONTROL_PORT + $1 * 10 + 1))"; }

# Prints the addresses of instances 0 to COUNT - 1, separated by commas: fleet_list COUNT FUNCTION
fleet_list() {
    local index list=""
    for ((index = 0; index < $1; ++index)); do
        list+="${list:+,}$($2 "$index")"
    done
    echo "$list"
}

fleet_start_control() {
    local index=$1
    shift
    fleet_start "control-${index}" "${BUILD}/Services/controld/controld" --name "control-${index}" --zone "zone-${index}" \
        --data-folder "${FLEET_FOLDER}/data-${index}" \
        --operator-listen "$(fleet_operator_address "$index")" \
        --entry-listen "$(fleet_entry_address "$index")" \
        --peer-listen "${FLEET_HOST}:$((FLEET_CONTROL_PORT + index * 10 + 2))" "$@"
}

fleet_caller_address() { echo "${FLEET_HOST}:$((FLEET_ENTRY_PORT + $1 * 10))"; }
fleet_announce_address() { echo "${FLEET_HOST}:$((FLEET_ENTRY_PORT + $1 * 10 + 1))"; }
fleet_admin_address() { echo "${FLEET_HOST}:$((FLEET_ENTRY_PORT + $1 * 10 + 2))"; }
fleet_peer_address() { echo "${FLEET_HOST}:$((FLEET_ENTRY_PORT + $1 * 10 + 3))"; }
fleet_target() { echo "$(fleet_caller_address "$1")/$(fleet_admin_address "$1")"; }

# Starts an entry instance: fleet_start_entry INDEX ENTRIES CONTROLS ARGUMENTS…
fleet_start_entry() {
    local index=$1 entries=$2 controls=$3 other peers=""
    shift 3
    for ((other = 0; other < entries; ++other)); do
        if [ "$other" -ne "$index" ]; then
            peers+="${peers:+,}$(fleet_peer_address "$other")"
        fi
    done
    fleet_start "entry-${index}" "${BUILD}/Services/entryd/entryd" --name "entry-${index}" --zone "zone-$((index % 3))" \
        --caller-listen "$(fleet_caller_address "$index")" \
        --backend-listen "$(fleet_announce_address "$index")" \
        --admin-listen "$(fleet_admin_address "$index")" \
        --peer-listen "$(fleet_peer_address "$index")" \
        --control "$(fleet_list "$controls" fleet_entry_address)" --peers "$peers" "$@"
}

# Starts one replica in a process of its own: fleet_start_backend SERVICE SHARD SHARDS SUFFIX ENTRIES ARGUMENTS…
fleet_start_backend() {
    local service=$1 shard=$2 shards=$3 suffix=$4 entries=$5
    shift 5
    fleet_start "${service}-${shard}-${suffix}" "${BUILD}/Utilities/fakebackendd/fakebackendd" --service "$service" \
        --first-shard "$shard" --shard-count "$shards" --replica-suffix "$suffix" --listen "${FLEET_HOST}:${FLEET_BACKEND_PORT}" \
        --announce-to "$(fleet_list "$entries" fleet_announce_address)" --zone "zone-$((FLEET_BACKEND_PORT % 3))" \
        --seed "$FLEET_BACKEND_PORT" "$@"
    FLEET_BACKEND_PORT=$((FLEET_BACKEND_PORT + 1))
}

fleet_ctl() {
    local controls=$1
    shift
    "${BUILD}/Utilities/crankctl/crankctl" --control "$(fleet_list "$controls" fleet_operator_address)" "$@"
}

# Bootstraps the log and applies a configuration: fleet_declare CONTROLS FILE
fleet_declare() {
    local tries
    for ((tries = 0; tries < 50; ++tries)); do
        if fleet_ctl "$1" bootstrap >/dev/null 2>&1; then
            break
        fi
        sleep 0.1
    done
    fleet_ctl "$1" apply "$2"
}

# Starts control instances, bootstraps them with a configuration and starts entry instances: fleet_start_instances CONTROLS ENTRIES FILE
fleet_start_instances() {
    local index
    for ((index = 0; index < $1; ++index)); do
        fleet_start_control "$index"
    done
    fleet_declare "$1" "$3"
    for ((index = 0; index < $2; ++index)); do
        fleet_start_entry "$index" "$2" "$1"
    done
}

# Prints the number of the control instance that is the leader, or nothing if there is none: fleet_leader CONTROLS
fleet_leader() {
    { fleet_ctl "$1" status 2>/dev/null || true; } | sed -n 's/^instance=control-\([0-9]*\) role=leader.*/\1/p' | tail -n 1
}

# Waits until every entry instance is ready and knows COUNT backend servers, for 150 attempts each: fleet_await_backends ENTRIES COUNT
fleet_await_backends() {
    local index tries page
    for ((index = 0; index < $1; ++index)); do
        for ((tries = 0; tries < 150; ++tries)); do
            page=$(curl -s --max-time 2 "http://$(fleet_admin_address "$index")/metrics" || true)
            if grep -q "^crankrudder_backends $2\$" <<<"$page" && grep -q '^crankrudder_ready 1$' <<<"$page"; then
                break
            fi
            sleep 0.1
        done
    done
}

# Prints the value of one field of an event line: fleet_field LINE NAME
fleet_field() {
    sed -n "s/.* $2=\([^ ]*\).*/\1/p" <<<"$1"
}

# Prints the number of keys that the fake backend servers together executed more than once.
fleet_duplicate_actions() {
    cat "${FLEET_FOLDER}"/actions-*.txt 2>/dev/null | sort | uniq -d | wc -l
}

# Prints the number of keys whose final answer was "not run" although they were executed.
fleet_false_not_run() {
    sort -u "${FLEET_FOLDER}/not-run.txt" 2>/dev/null >"${FLEET_FOLDER}/not-run.sorted" || true
    cat "${FLEET_FOLDER}"/actions-*.txt 2>/dev/null | sort -u | comm -12 - "${FLEET_FOLDER}/not-run.sorted" | wc -l
}
