/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibStorage/PosixFolder.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <fmt/core.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace Storage
{

static constexpr mode_t FileMode = 0640;
static constexpr mode_t FolderMode = 0750;
static constexpr const char *LockFileName = "lock";
static constexpr const char *TemporarySuffix = ".new";

FileDescriptor::FileDescriptor(int number) : descriptor(number)
{
}

FileDescriptor::~FileDescriptor()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
}

FileDescriptor::FileDescriptor(FileDescriptor &&other) noexcept : descriptor(std::exchange(other.descriptor, -1))
{
}

FileDescriptor &FileDescriptor::operator=(FileDescriptor &&other) noexcept
{
    std::swap(this->descriptor, other.descriptor);
    return *this;
}

int FileDescriptor::number() const
{
    return this->descriptor;
}

bool FileDescriptor::isOpen() const
{
    return this->descriptor >= 0;
}

static tl::unexpected<Core::Error> systemFailure(const std::string &action, const std::string &name)
{
    const int number = errno;
    const auto kind = number == ENOENT ? Core::ErrorKind::NotFound : Core::ErrorKind::Storage;
    return Core::failure(kind, fmt::format("cannot {} {}: {}", action, name, std::strerror(number)));
}

static Core::Result<void> writeAll(int descriptor, std::string_view bytes, const std::string &name)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return systemFailure("write", name);
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return {};
}

PosixFolder::PosixFolder(std::string path, FileDescriptor folder, FileDescriptor lock) : path(std::move(path)), folder(std::move(folder)), lock(std::move(lock))
{
}

Core::Result<std::unique_ptr<PosixFolder>> PosixFolder::create(const std::string &path)
{
    if (::mkdir(path.c_str(), FolderMode) != 0 && errno != EEXIST) {
        return systemFailure("create folder", path);
    }
    FileDescriptor folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!folder.isOpen()) {
        return systemFailure("open folder", path);
    }
    FileDescriptor lock(::openat(folder.number(), LockFileName, O_RDWR | O_CREAT | O_CLOEXEC, FileMode));
    if (!lock.isOpen()) {
        return systemFailure("open lock of", path);
    }
    if (::flock(lock.number(), LOCK_EX | LOCK_NB) != 0) {
        return Core::failure(Core::ErrorKind::Storage, path + " is in use by another process");
    }
    return std::unique_ptr<PosixFolder>(new PosixFolder(path, std::move(folder), std::move(lock)));
}

Core::Result<std::vector<std::string>> PosixFolder::list()
{
    DIR *entries = ::opendir(this->path.c_str());
    if (entries == nullptr) {
        return systemFailure("list", this->path);
    }
    std::vector<std::string> names;
    while (const dirent *entry = ::readdir(entries)) {
        const std::string name = entry->d_name;
        if (name != "." && name != ".." && name != LockFileName && !name.ends_with(TemporarySuffix)) {
            names.push_back(name);
        }
    }
    ::closedir(entries);
    std::sort(names.begin(), names.end());
    return names;
}

Core::Result<std::string> PosixFolder::read(const std::string &name)
{
    const FileDescriptor file(::openat(this->folder.number(), name.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.isOpen()) {
        return systemFailure("open", name);
    }
    std::string content;
    std::array<char, 65536> buffer{};
    while (true) {
        const ssize_t count = ::read(file.number(), buffer.data(), buffer.size());
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return systemFailure("read", name);
        }
        if (count == 0) {
            return content;
        }
        content.append(buffer.data(), static_cast<std::size_t>(count));
    }
}

Core::Result<int> PosixFolder::openForAppend(const std::string &name)
{
    auto &file = this->appendFiles[name];
    if (file.isOpen()) {
        return file.number();
    }
    file = FileDescriptor(::openat(this->folder.number(), name.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, FileMode));
    if (!file.isOpen()) {
        return systemFailure("open", name);
    }
    // The directory entry of a new file is durable only after a sync of the folder.
    auto synced = this->syncFolder();
    if (!synced.has_value()) {
        return tl::make_unexpected(synced.error());
    }
    return file.number();
}

Core::Result<void> PosixFolder::syncFolder() const
{
    if (::fsync(this->folder.number()) != 0) {
        return systemFailure("sync folder", this->path);
    }
    return {};
}

Core::Result<void> PosixFolder::append(const std::string &name, std::string_view bytes)
{
    const auto descriptor = this->openForAppend(name);
    if (!descriptor.has_value()) {
        return tl::make_unexpected(descriptor.error());
    }
    return writeAll(descriptor.value(), bytes, name);
}

Core::Result<void> PosixFolder::sync(const std::string &name)
{
    const auto descriptor = this->openForAppend(name);
    if (!descriptor.has_value()) {
        return tl::make_unexpected(descriptor.error());
    }
    if (::fdatasync(descriptor.value()) != 0) {
        return systemFailure("sync", name);
    }
    return {};
}

Core::Result<void> PosixFolder::replace(const std::string &name, std::string_view bytes)
{
    const std::string temporaryName = name + TemporarySuffix;
    {
        const FileDescriptor file(::openat(this->folder.number(), temporaryName.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FileMode));
        if (!file.isOpen()) {
            return systemFailure("open", temporaryName);
        }
        auto written = writeAll(file.number(), bytes, temporaryName);
        if (!written.has_value()) {
            return written;
        }
        if (::fsync(file.number()) != 0) {
            return systemFailure("sync", temporaryName);
        }
    }
    this->appendFiles.erase(name);
    if (::renameat(this->folder.number(), temporaryName.c_str(), this->folder.number(), name.c_str()) != 0) {
        return systemFailure("rename", temporaryName);
    }
    return this->syncFolder();
}

Core::Result<void> PosixFolder::truncate(const std::string &name, std::uint64_t length)
{
    const auto descriptor = this->openForAppend(name);
    if (!descriptor.has_value()) {
        return tl::make_unexpected(descriptor.error());
    }
    if (::ftruncate(descriptor.value(), static_cast<off_t>(length)) != 0) {
        return systemFailure("truncate", name);
    }
    if (::fsync(descriptor.value()) != 0) {
        return systemFailure("sync", name);
    }
    return {};
}

Core::Result<void> PosixFolder::remove(const std::string &name)
{
    this->appendFiles.erase(name);
    if (::unlinkat(this->folder.number(), name.c_str(), 0) != 0 && errno != ENOENT) {
        return systemFailure("remove", name);
    }
    return this->syncFolder();
}

}
