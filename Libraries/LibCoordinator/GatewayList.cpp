/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCoordinator/GatewayList.h>

#include <LibCore/Log.h>

namespace Coordinator
{

GatewayList::GatewayList(const GatewayListOptions &options, Core::TimerService &timers)
    : options(options), timers(timers), gateways(Fleet::RegistryOptions{.unconfirmedTimeout = options.unconfirmedTimeout, .notifiesOfConfirmation = true})
{
    this->gateways.changed = [this](const Fleet::BackendRecord &record) {
        auto announcement = record.announcement;
        announcement.__set_isEstablished(record.isEstablished);
        this->file.addChange(announcement);
        if (this->changed) {
            this->changed(record);
        }
    };
    this->gateways.forgotten = [this](const std::string &id) {
        this->file.forget(id);
    };
    if (options.isFirstStart) {
        this->setComplete("first_start");
    }
}

Fleet::BackendRegistry &GatewayList::registry()
{
    return this->gateways;
}

const Fleet::BackendRegistry &GatewayList::registry() const
{
    return this->gateways;
}

bool GatewayList::isComplete() const
{
    return this->complete;
}

bool GatewayList::isDurable() const
{
    return this->file.isDurable();
}

void GatewayList::setComplete(const char *reason)
{
    this->complete = true;
    Core::logEvent(Core::LogLevel::Information, "gateways.list_complete", {{"reason", reason}, {"gateways", this->gateways.readyCount()}});
}

Core::Result<void> GatewayList::restore(Storage::Folder &folder)
{
    const auto stored = this->file.load(folder);
    if (!stored.has_value()) {
        return tl::make_unexpected(stored.error());
    }
    for (const auto &announcement : stored.value()) {
        this->gateways.restore(announcement, this->timers.now());
    }
    Core::logEvent(Core::LogLevel::Information,
        "gateways.restored",
        {{"gateways", stored->size()}, {"unconfirmed", this->gateways.unconfirmedCount()}, {"file", this->file.wasFound() ? 1 : 0}});
    if (this->file.wasFound() && !this->complete) {
        this->setComplete("file");
    }
    return {};
}

Core::Result<void> GatewayList::store(Storage::Folder &folder)
{
    if (!this->complete || this->file.isDurable()) {
        return {};
    }
    return this->file.flush(folder);
}

void GatewayList::updateCompleteness()
{
    const auto now = this->timers.now();
    const bool inTouch = this->isInTouch && this->isInTouch();
    this->inTouchSince = inTouch ? std::optional(this->inTouchSince.value_or(now)) : std::nullopt;
    if (this->complete || !inTouch) {
        return;
    }
    if (this->isReceivedComplete && this->isReceivedComplete()) {
        this->setComplete("received");
    } else if (now - this->inTouchSince.value() >= this->options.settleTime) {
        this->setComplete("settled");
    }
}

void GatewayList::advance()
{
    const auto now = this->timers.now();
    this->updateCompleteness();
    for (auto &announcement : this->gateways.establish(now, this->options.settleTime)) {
        announcement.__set_isEstablished(true);
        this->file.addChange(announcement);
    }
    const auto silent = this->gateways.expireUnconfirmed(now);
    if (silent > 0) {
        Core::logEvent(Core::LogLevel::Information, "gateways.unconfirmed", {{"gateways", silent}});
    }
}

}
