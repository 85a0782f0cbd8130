/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A data folder in memory that loses at a crash what was not synced, and fails
// on demand.

#pragma once

#include <LibStorage/Folder.h>

#include <map>
#include <random>

namespace TestSupport
{

/** Keeps for each file what would survive and what would not. */
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

    /** The power goes: of what was not synced any prefix may be left, its end perhaps as zeros. */
    void crash(std::mt19937_64 &random);

    /** All files are gone, as after the loss of a disk. */
    void wipe();

    /** After this many more changing operations every one fails, as on a full or broken disk. */
    void failAfter(int operations);
    void failNever();

    /** Changes one stored bit. */
    void flipBit(const std::string &name, std::size_t byte, unsigned bit);

    [[nodiscard]] std::size_t size(const std::string &name) const;
    [[nodiscard]] int changes() const;

private:
    struct File {
        std::string durable;
        std::string pending;
    };

    [[nodiscard]] Core::Result<void> step();

    std::map<std::string, File> files;
    int changeCount{0};
    int failingFrom{-1};
};

}
