/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests that what a coordinator has acknowledged to a leaving backend server outlives the coordinator. They guard against an acknowledgement that is sent
// while nobody else knows of the departure: after a kill at that moment the backend server got requests until it ended.

#include <Support/TestCoordinator.h>

#include <array>
#include <criterion/criterion.h>

namespace
{

using Protocol::BackendPhase;
using TestSupport::TestCoordinator;

/** Three coordinators, of which one may lose its disk, and a backend server that all of them know as ready. */
class DepartureFixture
{
public:
    DepartureFixture()
    {
        for (const auto &coordinator : this->coordinators) {
            this->seeds.push_back(coordinator.watch);
        }
        this->startAll();
        // The first heartbeats may be sent before the coordinators watch each other.
        cr_assert(this->fixture.runUntil([this] {
            return this->call(this->coordinators[0], "PUT", this->heartbeat("ready")) == 200 && this->haveAll(BackendPhase::READY);
        }));
        // Longer than the period in which the registry is stored, so that the coordinators have the backend server as ready on their disks.
        this->fixture.settle(Core::milliseconds(700));
    }

    void startAll()
    {
        for (auto &coordinator : this->coordinators) {
            coordinator.start(this->seeds);
        }
    }

    void killAll()
    {
        for (auto &coordinator : this->coordinators) {
            coordinator.kill();
        }
    }

    std::string heartbeat(const std::string &state)
    {
        return R"({"service":"records","address":"127.0.0.1:9","zone":"zone","version":"v1","capacity":2,"state":")" + state
            + R"(","warmup_left_ms":0,"sequence":)" + std::to_string(++this->sequence) + "}";
    }

    /** Sends a request of the backend server, and returns the status of the response as soon as it is received; 0 without a response. */
    int call(const TestCoordinator &coordinator, const std::string &method, const std::string &body = {})
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(coordinator.control.port);
        inet_pton(AF_INET, coordinator.control.address.c_str(), &address.sin_addr);
        std::string response;
        if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0) {
            const auto text
                = method + " /crankrudder/instances/leaver HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            cr_assert_eq(::send(descriptor, text.data(), text.size(), MSG_NOSIGNAL), static_cast<ssize_t>(text.size()));
            cr_assert(this->fixture.runUntil([descriptor, &response] {
                std::array<char, 1024> buffer{};
                const auto count = ::recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
                response.append(buffer.data(), static_cast<std::size_t>(std::max<ssize_t>(0, count)));
                return response.find("\r\n\r\n") != std::string::npos;
            }));
        }
        ::close(descriptor);
        return response.size() < 12 ? 0 : std::stoi(response.substr(9, 3));
    }

    [[nodiscard]] bool haveAll(BackendPhase::type phase) const
    {
        return std::all_of(this->coordinators.begin(), this->coordinators.end(), [phase](const TestCoordinator &coordinator) {
            return coordinator.phaseOf("leaver") == phase;
        });
    }

    /** Whether all coordinators come to hold the phase and keep it while they exchange their records again. */
    [[nodiscard]] bool endsWith(BackendPhase::type phase)
    {
        const bool reached = this->fixture.runUntil([this, phase] {
            return this->haveAll(phase);
        });
        this->fixture.settle(Core::milliseconds(700));
        return reached && this->haveAll(phase);
    }

    TestSupport::LoopFixture fixture;
    std::array<TestCoordinator, 3> coordinators{TestCoordinator(this->fixture, 0), TestCoordinator(this->fixture, 1), TestCoordinator(this->fixture, 2)};
    std::vector<Core::Endpoint> seeds;
    int sequence{0};
};

}

Test(LostDepartures, anAcknowledgedDeregistrationOutlivesTheKillOfItsCoordinator)
{
    DepartureFixture fixture;
    cr_assert_eq(fixture.call(fixture.coordinators[0], "DELETE"), 200);
    fixture.coordinators[0].kill();
    fixture.coordinators[0].start(fixture.seeds);
    cr_assert(fixture.endsWith(BackendPhase::GONE));
}

Test(LostDepartures, anAcknowledgedDeregistrationOutlivesTheKillOfAllCoordinators)
{
    DepartureFixture fixture;
    cr_assert_eq(fixture.call(fixture.coordinators[0], "DELETE"), 200);
    fixture.killAll();
    fixture.startAll();
    cr_assert(fixture.endsWith(BackendPhase::GONE));
}

Test(LostDepartures, anAcknowledgedDeregistrationOutlivesALostDisk)
{
    DepartureFixture fixture;
    cr_assert_eq(fixture.call(fixture.coordinators[0], "DELETE"), 200);
    fixture.killAll();
    fixture.coordinators[0].loseDisk();
    fixture.startAll();
    cr_assert(fixture.endsWith(BackendPhase::GONE));
}

// A draining heartbeat is acknowledged like a deregistration. The next one is sent after a heartbeat period, which may be longer than a leaving backend server
// may still get requests.
Test(LostDepartures, anAcknowledgedDrainOutlivesTheKillOfAllCoordinators)
{
    DepartureFixture fixture;
    cr_assert_eq(fixture.call(fixture.coordinators[0], "PUT", fixture.heartbeat("draining")), 200);
    fixture.killAll();
    fixture.startAll();
    cr_assert(fixture.endsWith(BackendPhase::DRAINING));
}

// A backend server that repeats its deregistration at another coordinator, which knows of it already, gets an acknowledgement that means as much.
Test(LostDepartures, aRepeatedDeregistrationIsAcknowledgedOnTheSameTerms)
{
    DepartureFixture fixture;
    fixture.coordinators[2].kill();
    cr_assert_eq(fixture.call(fixture.coordinators[0], "DELETE"), 200);
    cr_assert_eq(fixture.call(fixture.coordinators[1], "DELETE"), 200);
    fixture.coordinators[0].kill();
    cr_assert_eq(fixture.call(fixture.coordinators[1], "DELETE"), 200, "what is stored already is acknowledged again");
    fixture.coordinators[1].kill();
    fixture.coordinators[0].loseDisk();
    fixture.startAll();
    cr_assert(fixture.endsWith(BackendPhase::GONE));
}

// A coordinator that reaches no other one can't keep such a promise, but passes the news on as soon as it can.
Test(LostDepartures, aDeregistrationThatNobodyElseStoresIsNotAcknowledged)
{
    DepartureFixture fixture;
    fixture.coordinators[1].kill();
    fixture.coordinators[2].kill();
    cr_assert_eq(fixture.call(fixture.coordinators[0], "DELETE"), 503);
    cr_assert(fixture.coordinators[0].phaseOf("leaver") == BackendPhase::GONE);
    fixture.coordinators[1].start(fixture.seeds);
    fixture.coordinators[2].start(fixture.seeds);
    cr_assert(fixture.endsWith(BackendPhase::GONE));
}

// Guards against a coordinator that could not use its disk when it started, and replaced the departures on it by what it has received since.
Test(LostDepartures, aCoordinatorReadsItsFilesWhenItsFolderBecomesUsable)
{
    DepartureFixture fixture;
    fixture.coordinators[2].kill();
    cr_assert_eq(fixture.call(fixture.coordinators[0], "DELETE"), 200);
    fixture.killAll();
    const int lock = fixture.coordinators[0].lockFolder();
    fixture.coordinators[0].start(fixture.seeds);
    cr_assert_eq(fixture.call(fixture.coordinators[0], "PUT", fixture.heartbeat("ready")), 200);
    fixture.fixture.settle(Core::milliseconds(700));
    ::close(lock);
    cr_assert(fixture.fixture.runUntil([&fixture] {
        return fixture.coordinators[0].phaseOf("leaver") == BackendPhase::GONE;
    }));
}
