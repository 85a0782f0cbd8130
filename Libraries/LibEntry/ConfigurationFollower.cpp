/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/ConfigurationFollower.h>

#include <LibCore/Log.h>

namespace Entry
{

ConfigurationFollower::ConfigurationFollower(
    ConfigurationFollowerOptions options, ActiveConfiguration &activeConfiguration, ControlAccess &control, Core::TimerService &timers)
    : options(std::move(options))
    , activeConfiguration(activeConfiguration)
    , control(control)
    , timers(timers)
    , next(timers.once(Core::Duration(0), [this](Core::Instant) {
        this->sendRequest();
    }))
{
}

int ConfigurationFollower::consecutiveFailures() const
{
    return this->failures;
}

void ConfigurationFollower::sendRequest()
{
    Protocol::FollowRequest request;
    request.entryName = this->options.entryName.value();
    request.incarnation = this->options.incarnation;
    request.revision = this->activeConfiguration.revision().value();
    const Core::Instant sentAt = this->timers.now();
    const std::weak_ptr<int> lifetime = this->lifetimeToken;
    this->control.follow(request, [this, lifetime, sentAt](const Core::Result<Protocol::FollowReply> &reply) {
        if (!lifetime.expired()) {
            this->handleReply(reply, sentAt);
        }
    });
}

void ConfigurationFollower::handleReply(const Core::Result<Protocol::FollowReply> &reply, Core::Instant sentAt)
{
    const auto before = this->activeConfiguration.revision();
    const bool usable = reply.has_value() && this->activeConfiguration.apply(reply.value(), sentAt);
    if (!usable) {
        ++this->failures;
        this->control.tryAnotherInstance(reply.has_value() ? reply->leaderAddress : std::string());
    } else {
        this->failures = 0;
    }
    if (usable && this->activeConfiguration.revision() != before) {
        Core::logEvent(
            Core::LogLevel::Information, "configuration.in_force", {{"revision", this->activeConfiguration.revision().value()}, {"was", before.value()}});
    }
    // The next request is sent at once after a new revision became active. It reports the revision, so that operators see that it is active here.
    const bool confirmSoon = usable && this->activeConfiguration.revision() != before;
    const auto delay = confirmSoon ? Core::Duration(0) : usable ? this->options.period : this->options.retryPeriod;
    this->next = this->timers.once(delay, [this](Core::Instant) {
        this->sendRequest();
    });
}

}
