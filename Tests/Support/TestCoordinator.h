/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// A coordinator for tests of several of them: the node with its listeners on the loopback interface and a data folder of its own.

#pragma once

#include <LibControl/PeerTransport.h>
#include <LibCoordinator/CoordinatorNode.h>
#include <LibRpc/RpcServer.h>
#include <Support/LoopFixture.h>
#include <platform/ControlInterface.h>

#include <criterion/criterion.h>
#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <sys/file.h>

namespace TestSupport
{

/** One coordinator with its listeners, as in Services/coordinatord, which can be killed and started again. */
class TestCoordinator
{
public:
    TestCoordinator(LoopFixture &fixture, int number)
        : control(freeEndpoint())
        , watch(freeEndpoint())
        , peer(freeEndpoint())
        , fixture(fixture)
        , name("coordinator-" + std::to_string(number))
        , folder(std::filesystem::temp_directory_path() / ("test-coordinator-" + std::to_string(getpid()) + "-" + this->name))
    {
        std::filesystem::create_directories(this->folder);
    }

    ~TestCoordinator()
    {
        this->kill();
        std::filesystem::remove_all(this->folder);
    }

    void start(const std::vector<Core::Endpoint> &seeds)
    {
        Coordinator::CoordinatorOptions options;
        options.watchEndpoint = this->watch;
        options.seeds = seeds;
        options.membership.targetVoters = seeds.size();
        options.log.dataFolder = this->folder;
        options.log.log.identity.name = this->name;
        options.log.log.identity.peerAddress = this->peer.toString();
        options.log.log.identity.entryAddress = this->watch.toString();
        options.log.log.identity.operatorAddress = this->control.toString();
        options.log.log.appendStorageIdToName = true;
        // With equal seeds, two voters would become candidates at the same time again and again.
        options.log.log.seed = std::hash<std::string>()(this->name);
        options.log.send = [this](const Protocol::Member &receiver, Protocol::LogMessage message) {
            this->transport->send(receiver, std::move(message));
        };
        this->adjust(options);
        this->transport = std::make_unique<Control::PeerTransport>(this->fixture.timers);
        this->node = Coordinator::CoordinatorNode::create(std::move(options), this->fixture.timers).value();
        const auto handler = std::make_shared<Coordinator::CoordinatorHandler>(*this->node);
        this->watchServer = Rpc::RpcServer::create(
            {.name = "watch", .endpoint = this->watch, .processor = std::make_shared<Protocol::CoordinatorAsyncProcessor>(handler), .limits = {}},
            this->fixture.timers)
                                .value();
        const auto peers = std::make_shared<Coordinator::LogPeerHandler>(*this->node);
        this->peerServer = Rpc::RpcServer::create(
            {.name = "log", .endpoint = this->peer, .processor = std::make_shared<Protocol::ControlPeerAsyncProcessor>(peers), .limits = {}},
            this->fixture.timers)
                               .value();
        this->interface = std::make_unique<Platform::ControlInterface>(*this->node, this->control.toString());
        this->controlServer = Wire::Server::create({.name = "control",
                                                       .endpoint = this->control,
                                                       .handler =
                                                           [this](const Wire::Request &request, const auto &exchange) {
                                                               this->interface->handle(request, exchange);
                                                           },
                                                       .limits = {}},
            *this->fixture.poll,
            this->fixture.timers)
                                  .value();
    }

    /** Ends the coordinator at once, as SIGKILL would; the files stay as they are. */
    void kill()
    {
        this->controlServer.reset();
        this->peerServer.reset();
        this->watchServer.reset();
        this->interface.reset();
        this->node.reset();
        this->transport.reset();
    }

    void loseDisk() const
    {
        std::filesystem::remove_all(this->folder);
        std::filesystem::create_directories(this->folder);
    }

    /** Keeps the data folder from being opened, as a process that still uses it does, until the returned descriptor is closed. */
    [[nodiscard]] int lockFolder() const
    {
        const int lock = ::open((this->folder / "lock").c_str(), O_RDWR | O_CLOEXEC);
        cr_assert_eq(::flock(lock, LOCK_EX | LOCK_NB), 0);
        return lock;
    }

    [[nodiscard]] std::optional<Protocol::BackendPhase::type> phaseOf(const std::string &id) const
    {
        const auto *record = this->node->backends().find(id);
        return record == nullptr ? std::nullopt : std::optional(record->announcement.phase);
    }

    [[nodiscard]] bool isRunning() const
    {
        return this->node != nullptr;
    }

    [[nodiscard]] Coordinator::CoordinatorNode &coordinator()
    {
        return *this->node;
    }

    [[nodiscard]] const Coordinator::DeclarationLog &log() const
    {
        return this->node->declarations();
    }

    Core::Endpoint control;
    Core::Endpoint watch;
    Core::Endpoint peer;
    /** Adjusts the options of the next start. */
    std::function<void(Coordinator::CoordinatorOptions &options)> adjust{[](Coordinator::CoordinatorOptions &) {
    }};

private:
    LoopFixture &fixture;
    std::string name;
    std::filesystem::path folder;
    std::unique_ptr<Control::PeerTransport> transport;
    std::unique_ptr<Coordinator::CoordinatorNode> node;
    std::unique_ptr<Rpc::RpcServer> watchServer;
    std::unique_ptr<Rpc::RpcServer> peerServer;
    std::unique_ptr<Platform::ControlInterface> interface;
    std::shared_ptr<Wire::Server> controlServer;
};

}
