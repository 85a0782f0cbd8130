/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Probes backend servers directly when their announcements stop arriving, so
// that a failed relay or load balancer does not empty the table of backend
// servers.

#pragma once

#include <LibCore/Settings.h>
#include <LibCore/TimerService.h>
#include <LibEntry/BackendTable.h>

#include <functional>
#include <memory>
#include <set>

namespace Entry
{

/** Period and limits of probes. */
struct RegistryRefresherOptions {
    Core::Duration period{Core::milliseconds(200)};
    /** A backend server is probed once its lease expires within this time. */
    Core::Duration probeBeforeExpiry{Core::milliseconds(1500)};
    /** A backend server is probed until this time after its lease expired, since it may still run while its announcements are lost. */
    Core::Duration probeAfterExpiry{Core::seconds(30)};
    /** Maximum number of probes in flight. */
    std::size_t maximumInFlight{32};
};

/** Checks the table each period and probes backend servers whose leases are about to expire or have expired. */
class RegistryRefresher
{
public:
    using AnswerHook = std::function<void(Core::Result<Protocol::Announcement> announcement)>;
    /** Requests the announcement of a backend server. The hook is called exactly once. */
    using Probe = std::function<void(const Core::Endpoint &endpoint, AnswerHook done)>;

    RegistryRefresher(RegistryRefresherOptions options, BackendTable &table, Probe probe, Core::TimerService &timers);

    [[nodiscard]] std::uint64_t probesSent() const;

private:
    void run(Core::Instant now);
    [[nodiscard]] bool needsProbe(const Backend &backend, Core::Instant now) const;
    void sendProbe(const Backend &backend);
    void handleReply(BackendId id, const Core::Result<Protocol::Announcement> &announcement);

    RegistryRefresherOptions options;
    BackendTable &table;
    Probe probe;
    Core::TimerService &timers;
    std::set<BackendId> inFlight;
    std::uint64_t sent{0};
    Core::TimerSubscription timer;
    // Hooks of outstanding calls hold this weakly, so that a reply after the destruction of this object is ignored.
    std::shared_ptr<int> lifetimeToken{std::make_shared<int>(0)};
};

}
