/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCoordinator/RegistryStore.h>

#include <LibCore/Log.h>
#include <LibRpc/Serialization.h>
#include <LibStorage/Batch.h>

namespace Coordinator
{

static constexpr const char *FileName = "backends";
// The file is rewritten once it is this many times as long as the ready backend servers need, and not below a length at which rewriting saves too little.
static constexpr std::size_t RewriteFactor = 4;
static constexpr std::size_t RewriteFromBytes = 64 * 1024;

static std::string frame(const Protocol::BackendAnnouncement &announcement)
{
    return Storage::frameBatch(Rpc::serialize(announcement));
}

std::vector<Protocol::BackendAnnouncement> RegistryStore::load(Storage::Folder &folder)
{
    const auto content = folder.read(FileName);
    if (!content.has_value()) {
        if (content.error().kind != Core::ErrorKind::NotFound) {
            Core::logEvent(Core::LogLevel::Warning, "registry.unreadable", {{"error", content.error().message}});
        }
        return {};
    }
    std::string_view rest = content.value();
    while (!rest.empty() && Storage::examineBatch(rest) == Storage::BatchState::Intact) {
        const auto batch = Storage::batchContent(rest);
        const auto announcement = Rpc::deserialize<Protocol::BackendAnnouncement>(batch);
        if (!announcement.has_value()) {
            break;
        }
        this->apply(announcement.value());
        rest.remove_prefix(Storage::BatchHeaderBytes + batch.size());
    }
    if (!rest.empty()) {
        Core::logEvent(Core::LogLevel::Warning, "registry.file_cut", {{"bytes", rest.size()}});
    }
    std::vector<Protocol::BackendAnnouncement> found;
    for (const auto &[id, announcement] : this->ready) {
        found.push_back(announcement);
    }
    return found;
}

void RegistryStore::apply(const Protocol::BackendAnnouncement &announcement)
{
    const auto found = this->ready.find(announcement.id);
    if (found != this->ready.end()) {
        this->readyBytes -= frame(found->second).size();
        this->ready.erase(found);
    }
    if (announcement.phase == Protocol::BackendPhase::READY) {
        this->readyBytes += frame(announcement).size();
        this->ready[announcement.id] = announcement;
    }
}

void RegistryStore::addChange(const Protocol::BackendAnnouncement &announcement)
{
    this->apply(announcement);
    this->unwritten += frame(announcement);
}

bool RegistryStore::hasUnwritten() const
{
    return !this->unwritten.empty();
}

Core::Result<void> RegistryStore::flush(Storage::Folder &folder)
{
    const auto length = this->fileBytes + this->unwritten.size();
    const bool tooLong = length >= RewriteFromBytes && length >= RewriteFactor * this->readyBytes;
    const auto outcome = this->mustRewrite || tooLong ? this->rewrite(folder) : this->append(folder);
    this->mustRewrite = !outcome.has_value();
    this->unwritten.clear();
    return outcome;
}

Core::Result<void> RegistryStore::append(Storage::Folder &folder)
{
    const auto appended = folder.append(FileName, this->unwritten);
    if (!appended.has_value()) {
        return appended;
    }
    this->fileBytes += this->unwritten.size();
    return folder.sync(FileName);
}

Core::Result<void> RegistryStore::rewrite(Storage::Folder &folder)
{
    std::string content;
    for (const auto &[id, announcement] : this->ready) {
        content += frame(announcement);
    }
    const auto replaced = folder.replace(FileName, content);
    if (replaced.has_value()) {
        this->fileBytes = content.size();
    }
    return replaced;
}

}
