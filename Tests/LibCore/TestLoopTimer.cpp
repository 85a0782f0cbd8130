/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Support/LoopFixture.h>

#include <chrono>
#include <criterion/criterion.h>
#include <sys/epoll.h>
#include <thread>

namespace
{

/** Counts the calls for the end of a pipe that can be read. */
class Reader : public Core::EventHandler
{
public:
    explicit Reader(int descriptor) : descriptor(descriptor)
    {
    }

    void handleEvents(std::uint32_t) override
    {
        char byte = 0;
        this->received += read(this->descriptor, &byte, 1) == 1 ? 1 : 0;
    }

    int descriptor;
    int received{0};
};

}

// Guards against timeouts that count time in which the process did not run: a reply that had arrived in time was read after the request's timeout had ended it.
Test(LoopTimer, handlesWhatHasArrivedBeforeLateTimers)
{
    TestSupport::LoopFixture fixture;
    int ends[2];
    cr_assert_eq(pipe(ends), 0);
    const auto reader = std::make_shared<Reader>(ends[0]);
    fixture.poll->add(ends[0], EPOLLIN, reader);
    int receivedAtTimeout = -1;
    const auto timeout = fixture.timers.once(Core::milliseconds(20), [&](Core::Instant) {
        receivedAtTimeout = reader->received;
    });
    cr_assert_eq(write(ends[1], "x", 1), 1);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    cr_assert(fixture.runUntil([&receivedAtTimeout] {
        return receivedAtTimeout >= 0;
    }));
    cr_assert_eq(receivedAtTimeout, 1);
    fixture.poll->remove(ends[0]);
    close(ends[0]);
    close(ends[1]);
}
