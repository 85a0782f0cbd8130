/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The one data folder of an instance with a disk. Files last only once they
// are synced (brief, "Where it will run"); this interface makes that explicit,
// so that a test can take away everything that was not.

#pragma once

#include <LibCore/Result.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Storage
{

/** Files of one folder, by plain name. All failures are of kind Storage, a missing file is NotFound. */
class Folder
{
public:
    Folder() = default;
    virtual ~Folder() = default;
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    /** Names of the files, sorted. */
    [[nodiscard]] virtual Core::Result<std::vector<std::string>> list() = 0;

    [[nodiscard]] virtual Core::Result<std::string> read(const std::string &name) = 0;

    /** Adds bytes to the end of a file, made if it is not there. Nothing lasts before sync(). */
    [[nodiscard]] virtual Core::Result<void> append(const std::string &name, std::string_view bytes) = 0;

    /** Makes everything appended so far last, the file's name included. */
    [[nodiscard]] virtual Core::Result<void> sync(const std::string &name) = 0;

    /** Puts a whole new content in a file's place. Afterwards, or after a crash, the file holds the old or the new content. */
    [[nodiscard]] virtual Core::Result<void> replace(const std::string &name, std::string_view bytes) = 0;

    /** Cuts a file to a length and makes that last. */
    [[nodiscard]] virtual Core::Result<void> truncate(const std::string &name, std::uint64_t length) = 0;

    /** Removes a file. Not finding it is no failure. */
    [[nodiscard]] virtual Core::Result<void> remove(const std::string &name) = 0;
};

}
