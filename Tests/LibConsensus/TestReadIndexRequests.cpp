/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests which readers of a follower are confirmed by which reply of the leader.

#include <LibConsensus/ReadIndexRequests.h>

#include <criterion/criterion.h>

using Consensus::ReadIndexRequests;

namespace
{

constexpr std::int64_t FirstNumber = 700;

/** Records the outcome of each reader, in the order in which they end: its name with + for confirmed and - for failed. */
class Readers
{
public:
    ReadIndexRequests::ConfirmHook makeHook(const std::string &name)
    {
        return [this, name](bool confirmed) {
            this->outcomes.push_back(name + (confirmed ? "+" : "-"));
        };
    }

    std::vector<std::string> outcomes;
};

}

Test(ReadIndexRequests, oneRequestCoversAllWaitingReaders)
{
    ReadIndexRequests requests(FirstNumber);
    Readers readers;
    requests.add(readers.makeHook("a"));
    requests.add(readers.makeHook("b"));
    cr_assert(requests.isRequestDue());
    const auto number = requests.startRequest(Core::Instant());
    cr_assert_not(requests.isRequestDue());
    requests.handleReply(number, 5);
    requests.confirmUpTo(5);
    cr_assert(readers.outcomes == (std::vector<std::string>{"a+", "b+"}));
}

Test(ReadIndexRequests, replyDoesNotConfirmReadersAddedAfterItsRequest)
{
    ReadIndexRequests requests(FirstNumber);
    Readers readers;
    requests.add(readers.makeHook("a"));
    const auto first = requests.startRequest(Core::Instant());
    requests.add(readers.makeHook("b"));
    requests.handleReply(first, 5);
    requests.confirmUpTo(9);
    cr_assert(readers.outcomes == (std::vector<std::string>{"a+"}), "b was added after the request was sent");
    const auto second = requests.startRequest(Core::Instant());
    requests.handleReply(first, 5);
    requests.confirmUpTo(9);
    cr_assert(readers.outcomes.size() == 1, "the first reply was received twice");
    requests.handleReply(second, 6);
    requests.confirmUpTo(9);
    cr_assert(readers.outcomes.back() == "b+");
}

Test(ReadIndexRequests, ignoresRepliesToUnknownRequestNumbers)
{
    for (const auto unknownNumber : {FirstNumber - 1, FirstNumber, FirstNumber + 2}) {
        ReadIndexRequests requests(FirstNumber);
        Readers readers;
        requests.add(readers.makeHook("a"));
        (void)requests.startRequest(Core::Instant());
        requests.handleReply(unknownNumber, 5);
        requests.confirmUpTo(5);
        cr_assert(readers.outcomes.empty());
    }
}

Test(ReadIndexRequests, confirmsOnceTheReadIndexIsCommittedLocally)
{
    ReadIndexRequests requests(FirstNumber);
    Readers readers;
    requests.add(readers.makeHook("a"));
    requests.handleReply(requests.startRequest(Core::Instant()), 5);
    requests.confirmUpTo(4);
    cr_assert(readers.outcomes.empty());
    requests.confirmUpTo(5);
    cr_assert(readers.outcomes == (std::vector<std::string>{"a+"}));
}

Test(ReadIndexRequests, failsReadersWhoseRequestTimedOut)
{
    ReadIndexRequests requests(FirstNumber);
    Readers readers;
    const Core::Instant start;
    requests.add(readers.makeHook("early"));
    (void)requests.startRequest(start);
    requests.add(readers.makeHook("late"));
    (void)requests.startRequest(start + Core::milliseconds(500));
    requests.add(readers.makeHook("unasked"));
    requests.failSentBefore(start + Core::milliseconds(100));
    cr_assert(readers.outcomes == (std::vector<std::string>{"early-"}));
    requests.failAll();
    cr_assert(readers.outcomes == (std::vector<std::string>{"early-", "late-", "unasked-"}));
}

Test(ReadIndexRequests, hookMayAddAnotherReader)
{
    ReadIndexRequests requests(FirstNumber);
    Readers readers;
    requests.add([&](bool) {
        requests.add(readers.makeHook("next"));
    });
    requests.failAll();
    cr_assert(requests.isRequestDue());
    cr_assert(readers.outcomes.empty());
}
