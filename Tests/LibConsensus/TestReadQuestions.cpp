/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which readers of a follower are confirmed by which answer of the leader.

#include <LibConsensus/ReadQuestions.h>

#include <criterion/criterion.h>

using Consensus::ReadQuestions;

namespace
{

constexpr std::int64_t FirstNumber = 700;

/** Notes how each reader ended, in the order of the ends. */
class Readers
{
public:
    ReadQuestions::ConfirmHook make(const std::string &name)
    {
        return [this, name](bool confirmed) {
            this->ends.push_back(name + (confirmed ? "+" : "-"));
        };
    }

    std::vector<std::string> ends;
};

}

Test(ReadQuestions, oneQuestionStandsForAllThatWaited)
{
    ReadQuestions questions(FirstNumber);
    Readers readers;
    questions.add(readers.make("a"));
    questions.add(readers.make("b"));
    cr_assert(questions.isQuestionDue());
    const auto number = questions.nextQuestion(Core::Instant());
    cr_assert_not(questions.isQuestionDue());
    questions.takeAnswer(number, 5);
    questions.finish(5);
    cr_assert(readers.ends == (std::vector<std::string>{"a+", "b+"}));
}

Test(ReadQuestions, anAnswerSaysNothingOfLaterReaders)
{
    ReadQuestions questions(FirstNumber);
    Readers readers;
    questions.add(readers.make("a"));
    const auto first = questions.nextQuestion(Core::Instant());
    questions.add(readers.make("b"));
    questions.takeAnswer(first, 5);
    questions.finish(9);
    cr_assert(readers.ends == (std::vector<std::string>{"a+"}), "b came after the question had left");
    const auto second = questions.nextQuestion(Core::Instant());
    questions.takeAnswer(first, 5);
    questions.finish(9);
    cr_assert(readers.ends.size() == 1, "the first answer came twice");
    questions.takeAnswer(second, 6);
    questions.finish(9);
    cr_assert(readers.ends.back() == "b+");
}

Test(ReadQuestions, takesNoAnswerToWhatItHasNotAsked)
{
    for (const auto strange : {FirstNumber - 1, FirstNumber, FirstNumber + 2}) {
        ReadQuestions questions(FirstNumber);
        Readers readers;
        questions.add(readers.make("a"));
        (void)questions.nextQuestion(Core::Instant());
        questions.takeAnswer(strange, 5);
        questions.finish(5);
        cr_assert(readers.ends.empty());
    }
}

Test(ReadQuestions, waitsUntilSoMuchIsApplied)
{
    ReadQuestions questions(FirstNumber);
    Readers readers;
    questions.add(readers.make("a"));
    questions.takeAnswer(questions.nextQuestion(Core::Instant()), 5);
    questions.finish(4);
    cr_assert(readers.ends.empty());
    questions.finish(5);
    cr_assert(readers.ends == (std::vector<std::string>{"a+"}));
}

Test(ReadQuestions, failsWhatHasNoAnswerInTime)
{
    ReadQuestions questions(FirstNumber);
    Readers readers;
    const Core::Instant start;
    questions.add(readers.make("early"));
    (void)questions.nextQuestion(start);
    questions.add(readers.make("late"));
    (void)questions.nextQuestion(start + Core::milliseconds(500));
    questions.add(readers.make("unasked"));
    questions.failAskedBefore(start + Core::milliseconds(100));
    cr_assert(readers.ends == (std::vector<std::string>{"early-"}));
    questions.failAll();
    cr_assert(readers.ends == (std::vector<std::string>{"early-", "late-", "unasked-"}));
}

Test(ReadQuestions, aHookMayBringAnotherReader)
{
    ReadQuestions questions(FirstNumber);
    Readers readers;
    questions.add([&](bool) {
        questions.add(readers.make("next"));
    });
    questions.failAll();
    cr_assert(questions.isQuestionDue());
    cr_assert(readers.ends.empty());
}
