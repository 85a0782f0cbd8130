/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Errors as values. A function that can fail returns a Result, which its caller has to
// check. Only a broken invariant aborts the process.

#pragma once

#include <string>
#include <tl/expected.hpp>

namespace Core
{

/** The kind of a failure, so that callers can decide what to do next. */
enum class ErrorKind {
    /** The input violates a documented rule. A retry does not help. */
    InvalidInput,
    /** The requested object does not exist. */
    NotFound,
    /** Reading, writing or syncing failed. */
    Storage,
    /** Stored bytes differ from the bytes that were written. */
    Corruption,
    /** The other side could not be reached or did not answer in time. */
    Unreachable,
    /** A limit of this process was reached. */
    LimitReached,
};

/** A failure with a human-readable message. */
struct Error {
    ErrorKind kind{ErrorKind::InvalidInput};
    std::string message;
};

/** Either a value or the error that prevented it. */
template<typename Value>
using Result = tl::expected<Value, Error>;

/** Creates the error of a Result. */
[[nodiscard]] inline tl::unexpected<Error> failure(ErrorKind kind, std::string message)
{
    return tl::make_unexpected(Error{.kind = kind, .message = std::move(message)});
}

/** Returns the name of a kind in log lines. */
[[nodiscard]] const char *errorKindName(ErrorKind kind);

}
