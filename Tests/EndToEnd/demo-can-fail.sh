#!/usr/bin/env bash
# Checks that the demonstration fails when a backend server returns wrong answers.
set -uo pipefail
cd "$(dirname "$0")/../.."
if DEMO_DURATION_MS=2000 Meta/demo.sh --break wrong-reply; then
    echo "the demonstration did not detect stale content"
    exit 1
fi
echo "event=demo.noticed"
