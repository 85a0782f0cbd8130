/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which readers of a follower are confirmed by which answer of the leader.

#include <LibConsensus/ReadIndexRequests.h>

#include <criterion/criterion.h>

using Consensus::ReadIndexRequests;

namespace
{

constexpr std::int64_t FirstNumber = 700;

/** Notes how each reader ended, in the order of the ends. */
class Readers
{
public:
    ReadIndexRequests::ConfirmHook make(const std::string &name)
    {
        return [this, name](bool confirmed) {
            this->ends.push_back(name + (confirmed ? "+" : "-"));
        };
    }

    std::vector<std::string> ends;
};

}

Test(ReadIndexRequests, oneQuestionStandsForAllThatWaited)
{
    ReadIndexRequests questions(FirstNumber);
    Readers readers;
    questions.add(readers.make("a"));
    questions.add(readers.make("b"));
    cr_assert(questions.isRequestDue());
    const auto number = questions.nextReadIndexRequest(Core::Instant());
    cr_assert_not(questions.isRequestDue());
    questions.handleAnswer(number, 5);
    questions.finish(5);
    cr_assert(readers.ends == (std::vector<std::string>{"a+", "b+"}));
}

Test(ReadIndexRequests, anAnswerSaysNothingOfLaterReaders)
{
    ReadIndexRequests questions(FirstNumber);
    Readers readers;
    questions.add(readers.make("a"));
    const auto first = questions.nextReadIndexRequest(Core::Instant());
    questions.add(readers.make("b"));
    questions.handleAnswer(first, 5);
    questions.finish(9);
    cr_assert(readers.ends == (std::vector<std::string>{"a+"}), "b came after the question had left");
    const auto second = questions.nextReadIndexRequest(Core::Instant());
    questions.handleAnswer(first, 5);
    questions.finish(9);
    cr_assert(readers.ends.size() == 1, "the first answer came twice");
    questions.handleAnswer(second, 6);
    questions.finish(9);
    cr_assert(readers.ends.back() == "b+");
}

Test(ReadIndexRequests, takesNoAnswerToWhatItHasNotAsked)
{
    for (const auto strange : {FirstNumber - 1, FirstNumber, FirstNumber + 2}) {
        ReadIndexRequests questions(FirstNumber);
        Readers readers;
        questions.add(readers.make("a"));
        (void)questions.nextReadIndexRequest(Core::Instant());
        questions.handleAnswer(strange, 5);
        questions.finish(5);
        cr_assert(readers.ends.empty());
    }
}

Test(ReadIndexRequests, waitsUntilSoMuchIsApplied)
{
    ReadIndexRequests questions(FirstNumber);
    Readers readers;
    questions.add(readers.make("a"));
    questions.handleAnswer(questions.nextReadIndexRequest(Core::Instant()), 5);
    questions.finish(4);
    cr_assert(readers.ends.empty());
    questions.finish(5);
    cr_assert(readers.ends == (std::vector<std::string>{"a+"}));
}

Test(ReadIndexRequests, failsWhatHasNoAnswerInTime)
{
    ReadIndexRequests questions(FirstNumber);
    Readers readers;
    const Core::Instant start;
    questions.add(readers.make("early"));
    (void)questions.nextReadIndexRequest(start);
    questions.add(readers.make("late"));
    (void)questions.nextReadIndexRequest(start + Core::milliseconds(500));
    questions.add(readers.make("unasked"));
    questions.failAskedBefore(start + Core::milliseconds(100));
    cr_assert(readers.ends == (std::vector<std::string>{"early-"}));
    questions.failAll();
    cr_assert(readers.ends == (std::vector<std::string>{"early-", "late-", "unasked-"}));
}

Test(ReadIndexRequests, aHookMayBringAnotherReader)
{
    ReadIndexRequests questions(FirstNumber);
    Readers readers;
    questions.add([&](bool) {
        questions.add(readers.make("next"));
    });
    questions.failAll();
    cr_assert(questions.isRequestDue());
    cr_assert(readers.ends.empty());
}
