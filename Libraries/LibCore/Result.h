/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Outcomes as values. A fallible function returns Result, which its caller has
// to look at; only a broken invariant stops the process.

#pragma once

#include <string>
#include <tl/expected.hpp>

namespace Core
{

/** What kind of failure it was, so that callers can decide what to do next. */
enum class ErrorKind {
    /** The input breaks a documented rule. Retrying does not help. */
    InvalidInput,
    /** The thing asked for does not exist. */
    NotFound,
    /** Reading, writing or syncing failed. */
    Storage,
    /** Stored bytes are not what was written. */
    Corruption,
    /** The other side could not be reached or did not answer in time. */
    Unreachable,
    /** A limit that this process keeps was reached. */
    LimitReached,
};

/** A failure with a message for people. */
struct Error {
    ErrorKind kind{ErrorKind::InvalidInput};
    std::string message;
};

/** Either the value or the reason why there is none. */
template<typename Value>
using Result = tl::expected<Value, Error>;

/** Makes the failed half of a Result. */
[[nodiscard]] inline tl::unexpected<Error> failure(ErrorKind kind, std::string message)
{
    return tl::make_unexpected(Error{.kind = kind, .message = std::move(message)});
}

/** The field's usual name of a kind, for log lines. */
[[nodiscard]] const char *errorKindName(ErrorKind kind);

}
