#!/usr/bin/env bash
# Builds, tests, formats, measures and demonstrates the system. README.md describes the commands.
set -euo pipefail
cd "$(dirname "$0")/.."
export BUILD=${BUILD:-Build}

usage() {
    cat <<'TEXT'
usage: Meta/crankrudder.sh COMMAND

  demo [--break wrong-reply]   builds, runs small versions of both deployments on loopback, checks the guarantees
  test                         builds, checks format and lint, runs all tests
  build                        builds everything
  format                       formats all sources in place
  lint                         runs the linter alone
  models                       checks the protocol models with Spin
  soak [--seeds 1-5] [--seconds 20]   injects faults into the real programs, checks the guarantees
  measure tail|control|capacity   prints measurements
TEXT
}

install() { Meta/install-dependencies.sh; }

build() {
    cmake -G Ninja -B "$BUILD" -S . >/dev/null
    cmake --build "$BUILD"
}

sources() { git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | grep -v /Generated/; }

check_format() {
    sources | xargs clang-format --dry-run --Werror
    echo "event=format.checked files=$(sources | wc -l)"
}

lint() {
    # Not every package of clang-tidy contains run-clang-tidy, so xargs distributes the files over the cores.
    sources | grep '\.cpp$' | xargs -P "$(nproc)" -n 2 clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$BUILD" 2>&1 \
        | { grep -v -E '^[0-9]+ warnings? (generated|treated as)' || true; } | tee "${BUILD}/lint.txt"
    if grep -q -E '(warning|error):' "${BUILD}/lint.txt"; then
        return 1
    fi
    echo "event=lint.checked files=$(sources | grep -c '\.cpp$')"
}

# Prints the names of the tests that KNOWN-RED.txt lists as "Test: cause, issue", one per line, joined as a regular expression for
# ctest. Prints nothing without the file.
known_red() { [ -f KNOWN-RED.txt ] && sed -n 's/^\([A-Za-z0-9]*\):.*/\1/p' KNOWN-RED.txt | paste -sd'|' || true; }

run_tests() {
    local red
    red=$(known_red)
    if [ -n "$red" ]; then
        sed 's/^/known red, passed over: /' KNOWN-RED.txt
        ctest --test-dir "$BUILD" --output-on-failure -E "^(${red})\$"
    else
        ctest --test-dir "$BUILD" --output-on-failure
    fi
}

command=${1:-help}
[ "$#" -gt 0 ] && shift
case "$command" in
demo)
    install
    build
    exec Meta/demo.sh "$@"
    ;;
test)
    install
    check_format
    build
    lint
    run_tests
    ;;
build)
    install
    build
    ;;
format) sources | xargs clang-format -i ;;
lint)
    install
    build
    lint
    ;;
models)
    install
    exec Meta/models.sh
    ;;
soak)
    install
    build
    exec Tests/Soak/soak.py --binaries "$BUILD" "$@"
    ;;
measure)
    install
    build
    exec "Meta/measure-${1:?tail, control or capacity}.sh"
    ;;
help | --help | -h) usage ;;
*)
    usage >&2
    exit 2
    ;;
esac
