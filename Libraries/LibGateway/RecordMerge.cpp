/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/RecordMerge.h>

#include <algorithm>
#include <cstring>

namespace Gateway
{

std::string mergeGreatest(const std::vector<std::string_view> &parts, std::size_t count)
{
    std::vector<const char *> records;
    for (const auto &part : parts) {
        for (std::size_t offset = 0; offset + RecordBytes <= part.size(); offset += RecordBytes) {
            records.push_back(part.data() + offset);
        }
    }
    const auto kept = std::min(count, records.size());
    const auto end = records.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(records.begin(), end, records.end(), [](const char *left, const char *right) {
        return std::memcmp(left, right, RecordBytes) > 0;
    });
    std::string merged;
    merged.reserve(kept * RecordBytes);
    for (auto next = records.begin(); next != end; ++next) {
        merged.append(*next, RecordBytes);
    }
    return merged;
}

void dropLessThan(std::string &records, std::string_view minimum)
{
    if (minimum.size() != RecordBytes) {
        return;
    }
    std::size_t end = 0;
    while (end + RecordBytes <= records.size() && std::memcmp(records.data() + end, minimum.data(), RecordBytes) >= 0) {
        end += RecordBytes;
    }
    records.resize(end);
}

}
