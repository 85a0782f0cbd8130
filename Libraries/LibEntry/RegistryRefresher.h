/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Asks backend servers directly when their announcements stop to arrive, so
// that a lost relay or a broken balancer does not empty the registry.

#pragma once

#include <LibCore/Settings.h>
#include <LibCore/TimerService.h>
#include <LibEntry/BackendTable.h>

#include <functional>
#include <memory>
#include <set>

namespace Entry
{

/** How direct questions are limited. */
struct RegistryRefresherOptions {
    Core::Duration period{Core::milliseconds(200)};
    /** A backend server is asked when less than this of its lease is left. */
    Core::Duration askBefore{Core::milliseconds(1500)};
    /** A silent backend server is still asked for this long, since it may only be unheard. */
    Core::Duration askAfter{Core::seconds(30)};
    std::size_t maximumUnderWay{32};
};

/** Runs over the table each period. */
class RegistryRefresher
{
public:
    using AnswerHook = std::function<void(Core::Result<Protocol::Announcement> announcement)>;
    /** Asks one backend server; the hook is called exactly once. */
    using Probe = std::function<void(const Core::Endpoint &endpoint, AnswerHook done)>;

    RegistryRefresher(RegistryRefresherOptions options, BackendTable &table, Probe probe, Core::TimerService &timers);

    [[nodiscard]] std::uint64_t probesSent() const;

private:
    void run(Core::Instant now);
    [[nodiscard]] bool needsProbe(const Backend &backend, Core::Instant now) const;
    void ask(const Backend &backend);
    void handleAnswer(BackendId id, const Core::Result<Protocol::Announcement> &announcement);

    RegistryRefresherOptions options;
    BackendTable &table;
    Probe probe;
    Core::TimerService &timers;
    std::set<BackendId> underWay;
    std::uint64_t sent{0};
    Core::TimerSubscription timer;
    std::shared_ptr<int> alive{std::make_shared<int>(0)};
};

}
