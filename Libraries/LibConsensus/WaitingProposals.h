/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Who waits for which entry of the replicated log to be committed.

#pragma once

#include <LibProtocol/Generated/control_types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Consensus
{

/** Entries that a leader proposed and that are not committed yet, with the hooks of those who wait. */
template<typename Hook>
class WaitingProposals
{
public:
    /** A hook whose entry's place in the log has been committed. */
    struct Decided {
        Hook hook;
        /** Whether it is the proposed entry that stands there; another leader may have put its own in the place. */
        bool isProposedEntry{false};
    };

    void add(std::int64_t index, std::int64_t term, Hook hook)
    {
        this->waiting[index] = Waiting{.term = term, .hook = std::move(hook)};
    }

    /** Takes out who waits for this committed entry, if anybody does. */
    [[nodiscard]] std::optional<Decided> take(const Protocol::LogEntry &entry)
    {
        const auto found = this->waiting.find(entry.index);
        if (found == this->waiting.end()) {
            return std::nullopt;
        }
        Decided decided{.hook = std::move(found->second.hook), .isProposedEntry = found->second.term == entry.term};
        this->waiting.erase(found);
        return decided;
    }

    /** Takes out all, whose outcome will not be known here. */
    [[nodiscard]] std::vector<Hook> takeAll()
    {
        std::vector<Hook> hooks;
        for (auto &[index, entry] : std::exchange(this->waiting, {})) {
            hooks.push_back(std::move(entry.hook));
        }
        return hooks;
    }

    [[nodiscard]] std::size_t size() const
    {
        return this->waiting.size();
    }

private:
    struct Waiting {
        std::int64_t term{0};
        Hook hook;
    };

    std::map<std::int64_t, Waiting> waiting;
};

}
