#!/usr/bin/env bash
# The demonstration has to notice a broken promise.
set -uo pipefail
cd "$(dirname "$0")/../.."
if DEMO_DURATION_MS=2000 Meta/demo.sh --break wrong-reply; then
    echo "the demonstration did not notice stale content"
    exit 1
fi
echo "event=demo.noticed"
