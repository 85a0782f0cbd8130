/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/PackedSignatures.h>

#include <LibFleet/TextDelta.h>

namespace Gateway
{

// Signatures are header values, which cannot contain this byte.
static constexpr char Separator = '\n';
// With fewer signatures there is too little repetition to compress.
static constexpr std::size_t MinimumPackedSignatures = 4;
// Limit for the expanded signatures, far above the signatures of any search.
static constexpr std::size_t MaximumBytes = 1024 * 1024;

void packSignatures(Protocol::PartialAnswer &answer)
{
    if (answer.signatures.size() < MinimumPackedSignatures) {
        return;
    }
    std::string joined;
    for (const auto &signature : answer.signatures) {
        joined += signature;
        joined += Separator;
    }
    auto packed = Fleet::compressText(joined);
    if (packed.size() < joined.size()) {
        answer.__set_packedSignatures(std::move(packed));
        answer.signatures.clear();
    }
}

Core::Result<void> unpackSignatures(Protocol::PartialAnswer &answer)
{
    if (!answer.__isset.packedSignatures) {
        return {};
    }
    const auto joined = Fleet::expandText(answer.packedSignatures, MaximumBytes);
    if (!joined.has_value()) {
        return tl::make_unexpected(joined.error());
    }
    std::size_t start = 0;
    for (auto end = joined->find(Separator); end != std::string::npos; end = joined->find(Separator, start)) {
        answer.signatures.push_back(joined->substr(start, end - start));
        start = end + 1;
    }
    answer.packedSignatures.clear();
    answer.__isset.packedSignatures = false;
    return {};
}

}
