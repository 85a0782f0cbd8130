/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Simulates a data folder in memory. A simulated crash loses data that was not synced, and operations can be made to fail.

#pragma once

#include <LibStorage/Folder.h>

#include <map>
#include <random>

namespace TestSupport
{

/** Keeps the synced and the unsynced content of each file apart. */
class FakeFolder final : public Storage::Folder
{
public:
    [[nodiscard]] Core::Result<std::vector<std::string>> list() override;
    [[nodiscard]] Core::Result<std::string> read(const std::string &name) override;
    [[nodiscard]] Core::Result<void> append(const std::string &name, std::string_view bytes) override;
    [[nodiscard]] Core::Result<void> sync(const std::string &name) override;
    [[nodiscard]] Core::Result<void> replace(const std::string &name, std::string_view bytes) override;
    [[nodiscard]] Core::Result<void> truncate(const std::string &name, std::uint64_t length) override;
    [[nodiscard]] Core::Result<void> remove(const std::string &name) override;

    /** Simulates a power failure: of each file's unsynced content a random prefix remains, the end of which may be read as zeros. */
    void crash(std::mt19937_64 &random);

    /** Removes all files, as the loss of a disk would. */
    void wipe();

    /** Lets this many more changing operations succeed, then fails each of them, as a full or broken disk would. */
    void failAfter(int operations);
    void failNever();

    /** Flips one bit of a file's synced content. */
    void flipBit(const std::string &name, std::size_t byte, unsigned bit);

    [[nodiscard]] std::size_t size(const std::string &name) const;
    /** Number of changing operations so far, failed ones included. */
    [[nodiscard]] int changes() const;

private:
    struct File {
        std::string durable;
        std::string pending;
    };

    [[nodiscard]] Core::Result<void> countChange();

    std::map<std::string, File> files;
    int changeCount{0};
    int failAfterChange{-1};
};

}
