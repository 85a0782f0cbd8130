/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The active configuration of this entry instance and the lease during which it
// may be used. docs/CONFIGURATION.md gives the rules of the lease, L1 to L3.

#pragma once

#include <LibCore/StrongValue.h>
#include <LibCore/Time.h>
#include <LibProtocol/Generated/control_types.h>

#include <functional>
#include <map>
#include <optional>

namespace Entry
{

/** Applies the replies of control instances and tells whether the configuration may be used. Does no I/O. */
class ActiveConfiguration
{
public:
    /** Applies the reply to a request that was sent at `sentAt`. Returns false if it is unconfirmed, older than the active revision, or lacks the content. */
    bool apply(const Protocol::FollowReply &reply, Core::Instant sentAt);

    /** Whether requests may be served with this configuration now. */
    [[nodiscard]] bool isFresh(Core::Instant now) const;

    /** When the lease expires. */
    [[nodiscard]] Core::Instant freshUntil() const;

    [[nodiscard]] Core::Revision revision() const;
    [[nodiscard]] const Protocol::Configuration &configuration() const;

    /** The service's declaration, or nullptr. Valid until the next apply(). */
    [[nodiscard]] const Protocol::ServiceDeclaration *service(const Core::ServiceName &name) const;
    [[nodiscard]] const Protocol::UrgencyClass *urgencyClass(const std::string &name) const;

    /** Number of connections that this instance may have to one replica of a service: its share of the replica's cap, at least 1. */
    [[nodiscard]] int connectionShare(const Protocol::ServiceDeclaration &service) const;

    /** Called after a new revision became active. */
    std::function<void()> changed;

private:
    void index();

    Protocol::Configuration current;
    // Invariant: never decreases.
    Core::Revision currentRevision{0};
    bool everConfirmed{false};
    Core::Instant leaseEnd;
    std::map<std::string, const Protocol::ServiceDeclaration *> services;
    std::map<std::string, const Protocol::UrgencyClass *> classes;
};

}
