/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The data folder on a POSIX file system.

#pragma once

#include <LibStorage/Folder.h>

#include <map>
#include <memory>

namespace Storage
{

/** Owns a file descriptor and closes it on destruction. */
class FileDescriptor
{
public:
    FileDescriptor() = default;
    explicit FileDescriptor(int number);
    ~FileDescriptor();
    FileDescriptor(FileDescriptor &&other) noexcept;
    FileDescriptor &operator=(FileDescriptor &&other) noexcept;
    FileDescriptor(const FileDescriptor &) = delete;
    FileDescriptor &operator=(const FileDescriptor &) = delete;

    [[nodiscard]] int number() const;
    [[nodiscard]] bool isOpen() const;

private:
    int descriptor{-1};
};

/** A folder on disk. Holds an exclusive lock on it, so that no two processes write to the same folder. */
class PosixFolder final : public Folder
{
public:
    /** Opens the folder, and creates it when it does not exist. Fails when another process holds its lock. */
    [[nodiscard]] static Core::Result<std::unique_ptr<PosixFolder>> create(const std::string &path);

    [[nodiscard]] Core::Result<std::vector<std::string>> list() override;
    [[nodiscard]] Core::Result<std::string> read(const std::string &name) override;
    [[nodiscard]] Core::Result<void> append(const std::string &name, std::string_view bytes) override;
    [[nodiscard]] Core::Result<void> sync(const std::string &name) override;
    [[nodiscard]] Core::Result<void> replace(const std::string &name, std::string_view bytes) override;
    [[nodiscard]] Core::Result<void> truncate(const std::string &name, std::uint64_t length) override;
    [[nodiscard]] Core::Result<void> remove(const std::string &name) override;

private:
    PosixFolder(std::string path, FileDescriptor folder, FileDescriptor lock);
    [[nodiscard]] Core::Result<int> openForAppend(const std::string &name);
    [[nodiscard]] Core::Result<void> syncFolder() const;

    std::string path;
    FileDescriptor folder;
    FileDescriptor lock;
    std::map<std::string, FileDescriptor> appendFiles;
};

}
