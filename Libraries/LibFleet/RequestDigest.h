/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The digest that identifies what a request asks for, whichever gateway receives it.

#pragma once

#include <LibCore/StrongValue.h>

#include <string>

namespace Fleet
{

/** Digest of the content of a request, in hexadecimal (Gateway::digestOf()). The retries of one request have the same digest. */
using RequestDigest = Core::StrongValue<struct RequestDigestTag, std::string>;

}
