/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Support/FakeFolder.h>

namespace TestSupport
{

Core::Result<void> FakeFolder::countChange()
{
    ++this->changeCount;
    if (this->failAfterChange >= 0 && this->changeCount > this->failAfterChange) {
        return Core::failure(Core::ErrorKind::Storage, "the disk fails on purpose");
    }
    return {};
}

Core::Result<std::vector<std::string>> FakeFolder::list()
{
    std::vector<std::string> names;
    for (const auto &[name, file] : this->files) {
        names.push_back(name);
    }
    return names;
}

Core::Result<std::string> FakeFolder::read(const std::string &name)
{
    const auto found = this->files.find(name);
    if (found == this->files.end()) {
        return Core::failure(Core::ErrorKind::NotFound, name);
    }
    return found->second.durable + found->second.pending;
}

Core::Result<void> FakeFolder::append(const std::string &name, std::string_view bytes)
{
    auto outcome = this->countChange();
    if (!outcome.has_value()) {
        return outcome;
    }
    this->files[name].pending += bytes;
    return {};
}

Core::Result<void> FakeFolder::sync(const std::string &name)
{
    auto outcome = this->countChange();
    if (!outcome.has_value()) {
        return outcome;
    }
    auto &file = this->files[name];
    file.durable += std::exchange(file.pending, {});
    return {};
}

Core::Result<void> FakeFolder::replace(const std::string &name, std::string_view bytes)
{
    auto outcome = this->countChange();
    if (!outcome.has_value()) {
        return outcome;
    }
    this->files[name] = File{.durable = std::string(bytes), .pending = {}};
    return {};
}

Core::Result<void> FakeFolder::truncate(const std::string &name, std::uint64_t length)
{
    auto outcome = this->countChange();
    if (!outcome.has_value()) {
        return outcome;
    }
    auto &file = this->files[name];
    const std::string stored = file.durable + file.pending;
    file = File{.durable = stored.substr(0, length), .pending = {}};
    return {};
}

Core::Result<void> FakeFolder::remove(const std::string &name)
{
    auto outcome = this->countChange();
    if (!outcome.has_value()) {
        return outcome;
    }
    this->files.erase(name);
    return {};
}

void FakeFolder::crash(std::mt19937_64 &random)
{
    for (auto &[name, file] : this->files) {
        std::string remaining = file.pending.substr(0, random() % (file.pending.size() + 1));
        const bool endIsZero = random() % 4 == 0 && remaining.size() > 256;
        if (endIsZero) {
            // The file's length reached the disk, but its last blocks did not.
            std::fill(remaining.end() - 128, remaining.end(), '\0');
        }
        file.durable += remaining;
        file.pending.clear();
    }
}

void FakeFolder::wipe()
{
    this->files.clear();
}

void FakeFolder::failAfter(int operations)
{
    this->failAfterChange = this->changeCount + operations;
}

void FakeFolder::failNever()
{
    this->failAfterChange = -1;
}

void FakeFolder::flipBit(const std::string &name, std::size_t byte, unsigned bit)
{
    auto &content = this->files.at(name).durable;
    content[byte] = static_cast<char>(static_cast<unsigned char>(content[byte]) ^ (1U << bit));
}

std::size_t FakeFolder::size(const std::string &name) const
{
    const auto found = this->files.find(name);
    return found == this->files.end() ? 0 : found->second.durable.size() + found->second.pending.size();
}

int FakeFolder::changes() const
{
    return this->changeCount;
}

}
