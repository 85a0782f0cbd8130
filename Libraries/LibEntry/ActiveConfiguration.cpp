/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/ActiveConfiguration.h>

#include <LibControl/ConfigurationDelta.h>

#include <algorithm>

namespace Entry
{

bool ActiveConfiguration::apply(const Protocol::FollowReply &reply, Core::Instant sentAt)
{
    if (!reply.confirmed || Core::Revision(reply.revision) < this->currentRevision) {
        // L3. The revision never decreases, whichever control instance replies.
        return false;
    }
    const bool isNew = Core::Revision(reply.revision) > this->currentRevision;
    if (isNew && reply.__isset.delta && reply.delta.fromRevision == this->currentRevision.value()) {
        this->current = Control::applyDelta(std::move(this->current), reply.delta);
    } else if (isNew && reply.__isset.configuration) {
        this->current = reply.configuration;
    } else if (isNew) {
        return false;
    }
    this->currentRevision = Core::Revision(reply.revision);
    // L1. The lease starts when the request was sent, since the revision was current at some time after that.
    this->leaseEnd = std::max(this->leaseEnd, sentAt + Core::milliseconds(reply.leaseMilliseconds));
    this->everConfirmed = true;
    if (isNew) {
        this->index();
        if (this->changed) {
            this->changed();
        }
    }
    return true;
}

void ActiveConfiguration::index()
{
    this->services.clear();
    this->classes.clear();
    for (const auto &service : this->current.services) {
        this->services[service.name] = &service;
    }
    for (const auto &urgencyClass : this->current.classes) {
        this->classes[urgencyClass.name] = &urgencyClass;
    }
}

bool ActiveConfiguration::isFresh(Core::Instant now) const
{
    // L2. A new process serves no requests before its first confirmed reply.
    return this->everConfirmed && now < this->leaseEnd;
}

Core::Instant ActiveConfiguration::freshUntil() const
{
    return this->leaseEnd;
}

Core::Revision ActiveConfiguration::revision() const
{
    return this->currentRevision;
}

const Protocol::Configuration &ActiveConfiguration::configuration() const
{
    return this->current;
}

const Protocol::ServiceDeclaration *ActiveConfiguration::service(const Core::ServiceName &name) const
{
    const auto found = this->services.find(name.value());
    return found == this->services.end() ? nullptr : found->second;
}

const Protocol::UrgencyClass *ActiveConfiguration::urgencyClass(const std::string &name) const
{
    const auto found = this->classes.find(name);
    return found == this->classes.end() ? nullptr : found->second;
}

int ActiveConfiguration::connectionShare(const Protocol::ServiceDeclaration &service) const
{
    return std::max(1, service.connectionCapPerReplica / std::max(1, this->current.maximumEntryInstances));
}

}
