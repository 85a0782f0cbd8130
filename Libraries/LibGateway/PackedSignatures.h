/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Compresses the signatures of a partial answer. Signatures are most of the bytes
// of a part that one gateway sends to another, and they resemble each other. Does
// no I/O.

#pragma once

#include <LibCore/Result.h>
#include <LibProtocol/Generated/fleet_types.h>

namespace Gateway
{

/** Replaces the signatures of an answer by their compressed form if that is shorter. */
void packSignatures(Protocol::PartialAnswer &answer);

/** Reverses packSignatures(). Fails with Corruption if the packed bytes are damaged. */
[[nodiscard]] Core::Result<void> unpackSignatures(Protocol::PartialAnswer &answer);

}
