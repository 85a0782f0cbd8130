/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCore/Result.h>

namespace Core
{

const char *errorKindName(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::InvalidInput:
        return "invalid-input";
    case ErrorKind::NotFound:
        return "not-found";
    case ErrorKind::Storage:
        return "storage";
    case ErrorKind::Corruption:
        return "corruption";
    case ErrorKind::Unreachable:
        return "unreachable";
    case ErrorKind::LimitReached:
        return "limit-reached";
    }
    return "unknown";
}

}
