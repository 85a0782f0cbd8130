/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/StableHash.h>

namespace Gateway
{

std::uint64_t stableHash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (const char byte : text) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3U;
    }
    // Final mixing step of SplitMix64.
    hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9U;
    hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebU;
    return hash ^ (hash >> 31U);
}

}
