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

// The file is rewritten once it is this many times as long as the stored backend servers need, and not below a length at which rewriting saves too little.
static constexpr std::size_t RewriteFactor = 3;
static constexpr std::size_t RewriteFromBytes = 64 * 1024;

static std::string frame(const Protocol::BackendAnnouncement &announcement)
{
    return Storage::frameBatch(Rpc::serialize(announcement));
}

// Returns what has to be stored of a backend server. Of one that is gone, its id and incarnation suffice to recognize late announcements.
static Protocol::BackendAnnouncement storedForm(const Protocol::BackendAnnouncement &announcement)
{
    if (announcement.phase != Protocol::BackendPhase::GONE) {
        return announcement;
    }
    Protocol::BackendAnnouncement shortened;
    shortened.id = announcement.id;
    shortened.phase = announcement.phase;
    shortened.sequence = announcement.sequence;
    shortened.born = announcement.born;
    return shortened;
}

RegistryStore::RegistryStore(std::string fileName) : fileName(std::move(fileName))
{
}

Core::Result<std::vector<Protocol::BackendAnnouncement>> RegistryStore::load(Storage::Folder &folder)
{
    const auto content = folder.read(this->fileName);
    if (!content.has_value()) {
        if (content.error().kind == Core::ErrorKind::NotFound) {
            return {};
        }
        return tl::make_unexpected(content.error());
    }
    this->isFound = true;
    // The latest record of each backend server in the file. Changes that were collected before the file could be read are more recent.
    std::map<std::string, Protocol::BackendAnnouncement> latest;
    std::string_view rest = content.value();
    while (!rest.empty() && Storage::examineBatch(rest) == Storage::BatchState::Intact) {
        const auto batch = Storage::batchContent(rest);
        const auto announcement = Rpc::deserialize<Protocol::BackendAnnouncement>(batch);
        if (!announcement.has_value()) {
            break;
        }
        latest[announcement->id] = announcement.value();
        rest.remove_prefix(Storage::BatchHeaderBytes + batch.size());
    }
    if (!rest.empty()) {
        Core::logEvent(Core::LogLevel::Warning, "registry.file_cut", {{"bytes", rest.size()}});
    }
    std::vector<Protocol::BackendAnnouncement> found;
    for (const auto &[id, announcement] : latest) {
        if (announcement.phase == Protocol::BackendPhase::SILENT) {
            continue;
        }
        found.push_back(announcement);
        if (!this->stored.contains(id)) {
            this->apply(announcement);
        }
    }
    return found;
}

void RegistryStore::apply(const Protocol::BackendAnnouncement &announcement)
{
    this->forget(announcement.id);
    if (announcement.phase != Protocol::BackendPhase::SILENT) {
        this->storedBytes += frame(announcement).size();
        this->stored[announcement.id] = announcement;
    }
}

void RegistryStore::forget(const std::string &id)
{
    if (const auto found = this->stored.find(id); found != this->stored.end()) {
        this->storedBytes -= frame(found->second).size();
        this->stored.erase(found);
    }
}

void RegistryStore::addChange(const Protocol::BackendAnnouncement &announcement)
{
    const auto form = storedForm(announcement);
    this->apply(form);
    this->unwritten += frame(form);
}

bool RegistryStore::isDurable() const
{
    return this->unwritten.empty() && !this->mustRewrite;
}

bool RegistryStore::wasFound() const
{
    return this->isFound;
}

std::uint64_t RegistryStore::syncCount() const
{
    return this->syncs;
}

Core::Result<void> RegistryStore::flush(Storage::Folder &folder)
{
    const auto length = this->fileBytes + this->unwritten.size();
    const bool tooLong = length >= RewriteFromBytes && length >= RewriteFactor * this->storedBytes;
    const auto outcome = this->mustRewrite || tooLong ? this->rewrite(folder) : this->append(folder);
    this->mustRewrite = !outcome.has_value();
    this->unwritten.clear();
    this->syncs += outcome.has_value() ? 1 : 0;
    return outcome;
}

Core::Result<void> RegistryStore::append(Storage::Folder &folder)
{
    const auto appended = folder.append(this->fileName, this->unwritten);
    if (!appended.has_value()) {
        return appended;
    }
    this->fileBytes += this->unwritten.size();
    return folder.sync(this->fileName);
}

Core::Result<void> RegistryStore::rewrite(Storage::Folder &folder)
{
    std::string content;
    for (const auto &[id, announcement] : this->stored) {
        content += frame(announcement);
    }
    const auto replaced = folder.replace(this->fileName, content);
    if (replaced.has_value()) {
        this->fileBytes = content.size();
    }
    return replaced;
}

}
