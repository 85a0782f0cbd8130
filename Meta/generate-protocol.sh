#!/usr/bin/env bash
# Regenerates Libraries/LibProtocol/Generated from the .thrift files. The generated
# code is committed, so that a build does not need the generator.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in operator control entry fleet; do
    thrift --gen cpp:cob_style,no_skeleton -out Libraries/LibProtocol/Generated "Libraries/LibProtocol/${file}.thrift"
done
