/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The configuration in force at this entry instance, and the proof that it is
// current. docs/CONFIGURATION.md gives the rules of the lease.

#pragma once

#include <LibCore/StrongValue.h>
#include <LibCore/Time.h>
#include <LibProtocol/Generated/control_types.h>

#include <functional>
#include <map>
#include <optional>

namespace Entry
{

/** Pure: takes replies, answers whether the configuration may be used. */
class ActiveConfiguration
{
public:
    /** Takes a confirmed reply to a request that was sent at `sentAt`. Returns false when the reply could not be used. */
    bool take(const Protocol::FollowReply &reply, Core::Instant sentAt);

    /** Whether requests may be served by this configuration at this moment. */
    [[nodiscard]] bool isFresh(Core::Instant now) const;

    /** When the proof runs out. */
    [[nodiscard]] Core::Instant freshUntil() const;

    [[nodiscard]] Core::Revision revision() const;
    [[nodiscard]] const Protocol::Configuration &configuration() const;

    /** The service's declaration, or nullptr. Valid until the next take(). */
    [[nodiscard]] const Protocol::ServiceDeclaration *service(const Core::ServiceName &name) const;
    [[nodiscard]] const Protocol::UrgencyClass *urgencyClass(const std::string &name) const;

    /** How many connections to one replica of a service this instance may have. */
    [[nodiscard]] int connectionShare(const Protocol::ServiceDeclaration &service) const;

    /** Called after a new revision came into force. */
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
