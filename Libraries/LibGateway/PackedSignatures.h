/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Signatures of many shards in fewer bytes: most of a part that one gateway
// sends another is signatures, and they are alike. Pure.

#pragma once

#include <LibCore/Result.h>
#include <LibProtocol/Generated/fleet_types.h>

namespace Gateway
{

/** Takes the signatures of an answer together, if that makes them shorter. */
void packSignatures(Protocol::PartialAnswer &answer);

/** Undoes packSignatures(). Fails with Corruption when the packed bytes are damaged. */
[[nodiscard]] Core::Result<void> unpackSignatures(Protocol::PartialAnswer &answer);

}
