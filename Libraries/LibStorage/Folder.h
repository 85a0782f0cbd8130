/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The data folder of an instance that stores data on disk. Appended bytes survive a crash only after a sync. This interface makes the syncs
// explicit, so that a test can discard everything that was not synced.

#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Storage
{

/** The files of one folder, by file name without a path. Failures are of kind Storage, except that a missing file is of kind NotFound. */
class Folder
{
public:
    Folder() = default;
    virtual ~Folder() = default;
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    /** The names of the files, sorted. */
    [[nodiscard]] virtual Core::Result<std::vector<std::string>> list() = 0;

    [[nodiscard]] virtual Core::Result<std::string> read(const std::string &name) = 0;

    /** Appends bytes to a file, which is created when it does not exist. The bytes are durable only after sync(). */
    [[nodiscard]] virtual Core::Result<void> append(const std::string &name, std::string_view bytes) = 0;

    /** Makes all bytes that were appended to a file durable, and the file's directory entry. */
    [[nodiscard]] virtual Core::Result<void> sync(const std::string &name) = 0;

    /** Replaces the whole content of a file, durably and atomically: after a crash the file has either the old or the new content. */
    [[nodiscard]] virtual Core::Result<void> replace(const std::string &name, std::string_view bytes) = 0;

    /** Truncates a file to a length in bytes, durably. */
    [[nodiscard]] virtual Core::Result<void> truncate(const std::string &name, std::uint64_t length) = 0;

    /** Removes a file. Succeeds when the file does not exist. */
    [[nodiscard]] virtual Core::Result<void> remove(const std::string &name) = 0;
};

}
