/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibCoordinator/OperatorState.h>

#include <LibCore/Log.h>
#include <LibFleet/TextDelta.h>
#include <LibRpc/Serialization.h>

namespace Coordinator
{

// The longest declaration text. The operators' interface bounds the documents that it accepts by the same figure.
static constexpr std::size_t MaximumContentBytes = 16 * 1024 * 1024;

Core::Result<OperatorState> OperatorState::fromSnapshot(const std::string &bytes)
{
    const auto stored = Rpc::deserialize<Protocol::StoredState>(bytes);
    if (!stored.has_value()) {
        return tl::make_unexpected(stored.error());
    }
    OperatorState state;
    if (stored->version >= 0) {
        state.applyDeclaration(stored->version, stored->compressed);
        if (state.newestVersion != stored->version) {
            return Core::failure(Core::ErrorKind::Corruption, "the declaration in a snapshot is unreadable");
        }
    }
    state.evacuated = EvacuatedZones(stored->evacuations);
    state.lastApplied = stored->appliedIndex;
    return state;
}

std::string OperatorState::toSnapshot() const
{
    Protocol::StoredState stored;
    stored.version = this->newestVersion;
    stored.compressed = this->newestCompressed;
    stored.evacuations = this->evacuated.current();
    stored.appliedIndex = this->lastApplied;
    return Rpc::serialize(stored);
}

void OperatorState::apply(const std::string &command, std::int64_t index)
{
    this->lastApplied = index;
    if (command.empty()) {
        return;
    }
    const auto order = Rpc::deserialize<Protocol::StoredOrder>(command);
    if (!order.has_value()) {
        // Every coordinator applies the same bytes, so all of them skip this entry alike and their states stay the same.
        Core::logEvent(Core::LogLevel::Error, "log.command_unreadable", {{"index", index}, {"error", order.error().message}});
        return;
    }
    if (order->version > this->newestVersion) {
        this->applyDeclaration(order->version, order->compressed);
    }
    if (order->__isset.evacuation) {
        this->evacuated.apply(order->evacuation, index);
    }
}

void OperatorState::applyDeclaration(std::int64_t version, const std::string &compressed)
{
    auto content = Fleet::expandText(compressed, MaximumContentBytes);
    if (!content.has_value()) {
        Core::logEvent(Core::LogLevel::Error, "declaration.unreadable", {{"version", version}, {"error", content.error().message}});
        return;
    }
    this->newestVersion = version;
    this->newestCompressed = compressed;
    this->newestContent = std::move(content.value());
}

std::int64_t OperatorState::appliedIndex() const
{
    return this->lastApplied;
}

std::int64_t OperatorState::version() const
{
    return this->newestVersion;
}

const std::string &OperatorState::content() const
{
    return this->newestContent;
}

const std::string &OperatorState::compressed() const
{
    return this->newestCompressed;
}

const Protocol::Evacuations &OperatorState::evacuations() const
{
    return this->evacuated.current();
}

}
