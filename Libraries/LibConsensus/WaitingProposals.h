/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tracks which hooks wait for which entry of the replicated log to be committed.

#pragma once

#include <LibProtocol/Generated/control_types.h>

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Consensus
{

/** Entries that a leader proposed and that are not known to be committed, with the hooks to call when they are. */
template<typename Hook>
class WaitingProposals
{
public:
    /** A hook whose log index was committed. */
    struct CommittedProposal {
        Hook hook;
        /** Whether the committed entry is the proposed one. It is not when another leader's entry replaced it at this index. */
        bool isProposedEntry{false};
    };

    /** Adds the hook for an entry that this instance proposed as leader, by the entry's index and term. */
    void add(std::int64_t index, std::int64_t term, Hook hook)
    {
        this->waiting[index] = PendingProposal{.term = term, .hook = std::move(hook)};
    }

    /** Removes and returns the hook that waits for the index of this committed entry, if there is one. */
    [[nodiscard]] std::optional<CommittedProposal> take(const Protocol::LogEntry &entry)
    {
        const auto found = this->waiting.find(entry.index);
        if (found == this->waiting.end()) {
            return std::nullopt;
        }
        CommittedProposal committed{.hook = std::move(found->second.hook), .isProposedEntry = found->second.term == entry.term};
        this->waiting.erase(found);
        return committed;
    }

    /** Removes and returns all hooks. This instance does not learn whether their entries are committed. */
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
    struct PendingProposal {
        std::int64_t term{0};
        Hook hook;
    };

    std::map<std::int64_t, PendingProposal> waiting;
};

}
