/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests the phases of a planned stop.

#include <LibCore/GracefulStop.h>
#include <Support/ManualTime.h>

#include <criterion/criterion.h>
#include <optional>

namespace
{

/** A process whose load the test sets. */
class StoppedProcess
{
public:
    explicit StoppedProcess(Core::StopTimes times) : stop(times, this->hooks(), this->time.timers())
    {
    }

    [[nodiscard]] Core::StopHooks hooks()
    {
        return {.begun =
                    [this](const Core::StopSchedule &begun) {
                        this->schedule = begun;
                    },
            .closeIdleConnections = {},
            .stopListening =
                [this] {
                    this->isListening = false;
                },
            .answerAll =
                [this] {
                    ++this->finalAnswers;
                    this->load.requests = this->unwritten;
                },
            .load =
                [this] {
                    return this->load;
                },
            .ended =
                [this](const Core::StopLoad &left) {
                    this->endedAt = this->time.now();
                    this->left = left.requests;
                }};
    }

    [[nodiscard]] Core::Duration sinceRequest() const
    {
        return this->time.now() - this->schedule.requestedAt;
    }

    TestSupport::ManualTime time;
    Core::StopLoad load;
    Core::StopSchedule schedule;
    bool isListening{true};
    int finalAnswers{0};
    // Requests whose final answer can't be written.
    std::size_t unwritten{0};
    std::optional<Core::Instant> endedAt;
    std::size_t left{0};
    Core::GracefulStop stop;
};

constexpr Core::StopTimes Usual{.grace = Core::seconds(6), .notice = Core::milliseconds(3200)};

}

// Guards against a process that ends with requests in flight: it waits for each, then answers those that are left, and only then ends.
Test(GracefulStop, answersWhatIsLeftBeforeTheEnd)
{
    StoppedProcess process(Usual);
    process.load = {.requests = 3, .connections = 3};
    process.stop.request();
    process.time.advance(process.schedule.answersDue - process.time.now() - Core::milliseconds(20));
    cr_assert_eq(process.finalAnswers, 0);
    cr_assert(process.isListening && !process.endedAt.has_value());
    process.time.advance(Core::milliseconds(30));
    cr_assert_eq(process.load.requests, 0U);
    cr_assert_not(process.isListening);
    // Arrives on a connection that was accepted at the last moment.
    process.load.requests = 1;
    process.time.advance(Core::milliseconds(30));
    cr_assert_eq(process.load.requests, 0U);
    cr_assert_not(process.endedAt.has_value());
    process.load.connections = 0;
    process.time.advance(Core::milliseconds(40));
    cr_assert(process.endedAt.has_value());
    cr_assert(process.endedAt.value() < process.schedule.end);
    cr_assert_eq(process.left, 0U);
}

// Guards against a second signal that ends the process at once.
Test(GracefulStop, repeatedRequestsChangeNothing)
{
    StoppedProcess process(Usual);
    process.load = {.requests = 1, .connections = 1};
    process.stop.request();
    const auto end = process.schedule.end;
    process.time.advance(Core::seconds(2));
    process.stop.request();
    process.stop.setGraceTime(Core::seconds(1));
    process.time.advance(Core::seconds(2));
    cr_assert_not(process.endedAt.has_value());
    cr_assert(process.schedule.end == end);
}

// Guards against an end within the first quiet moment although a request is half uploaded or a connection may still bring one.
Test(GracefulStop, quietConnectionsDelayTheEndForAWhile)
{
    StoppedProcess process({.grace = Core::seconds(10), .notice = Usual.notice});
    process.load = {.requests = 1, .connections = 2};
    process.stop.request();
    process.time.advance(Usual.notice + Usual.idleWait + Core::milliseconds(200));
    cr_assert(process.isListening, "a request is under way");
    process.load.requests = 0;
    process.time.advance(Core::milliseconds(40));
    cr_assert_not(process.isListening);
    cr_assert_not(process.endedAt.has_value(), "the connections were accepted");
    process.load.requests = 1;
    process.time.advance(Usual.idleWait);
    cr_assert_not(process.endedAt.has_value(), "one of them brought a request");
    process.load = {};
    process.time.advance(Core::milliseconds(40));
    cr_assert(process.endedAt.has_value());
    cr_assert_eq(process.finalAnswers, 0);
}

// Guards against a grace period that is shorter than the notice: the process was killed before it looked at its requests.
Test(GracefulStop, everyPhaseFitsIntoAnyGracePeriod)
{
    for (const int grace : {100, 500, 1000, 2000, 3000, 6000, 60'000}) {
        StoppedProcess process({.grace = Core::milliseconds(grace), .notice = Usual.notice});
        process.load = {.requests = 2, .connections = 2};
        process.unwritten = 1;
        process.stop.request();
        const auto &schedule = process.schedule;
        cr_assert(
            schedule.requestedAt < schedule.noticeEnds && schedule.noticeEnds < schedule.answersDue && schedule.answersDue < schedule.end, "%d ms", grace);
        process.time.advance(Core::milliseconds(grace));
        cr_assert_geq(process.finalAnswers, 1, "%d ms", grace);
        cr_assert(process.endedAt.has_value(), "%d ms", grace);
        cr_assert_eq(process.left, 1U, "an answer that can't be written doesn't keep the process from its end");
    }
}

// Guards against a process that waits for the whole notice, or longer, when its callers have gone.
Test(GracefulStop, endsOnceNothingIsLeft)
{
    StoppedProcess process(Usual);
    process.stop.request();
    process.time.advance(Usual.notice - Core::milliseconds(40));
    cr_assert_not(process.endedAt.has_value(), "callers may still come");
    process.time.advance(Core::milliseconds(100));
    cr_assert(process.endedAt.has_value());
}
