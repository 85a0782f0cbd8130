/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Strong types for identifiers and counts, so that a shard index, for example, can't be
// passed where a revision is expected.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace Core
{

/** A value whose type is distinguished by its tag. Values with different tags can't be assigned or compared. */
template<typename Tag, typename Representation>
class StrongValue
{
public:
    StrongValue() = default;
    explicit StrongValue(Representation value) : representation(std::move(value))
    {
    }

    /** The underlying value, for output and for arithmetic at the boundaries of the program. */
    [[nodiscard]] const Representation &value() const
    {
        return this->representation;
    }

    auto operator<=>(const StrongValue &) const = default;

private:
    Representation representation{};
};

/** Name of a service that operators have declared. */
using ServiceName = StrongValue<struct ServiceNameTag, std::string>;
/** Name that a backend server has chosen for itself; unique within its service. */
using ReplicaName = StrongValue<struct ReplicaNameTag, std::string>;
/** Name of an entry or control instance, from its settings. */
using InstanceName = StrongValue<struct InstanceNameTag, std::string>;
/** Name of an availability zone, from the settings. */
using ZoneName = StrongValue<struct ZoneNameTag, std::string>;
/** Position of a shard within one shard map, from 0. */
using ShardIndex = StrongValue<struct ShardIndexTag, std::int32_t>;
/** Number of an accepted configuration; increases by one with each change. */
using Revision = StrongValue<struct RevisionTag, std::int64_t>;
/** Position in the replicated log, from 1; 0 is the position before the first entry. */
using LogIndex = StrongValue<struct LogIndexTag, std::int64_t>;
/** Election term of the replicated log. */
using Term = StrongValue<struct TermTag, std::int64_t>;
/** Unguessable identifier of one sub-request; every attempt gets a new one. */
using AttemptId = StrongValue<struct AttemptIdTag, std::string>;
/** Identifier of one request of a caller, as shown in responses, logs and traces. */
using RequestId = StrongValue<struct RequestIdTag, std::string>;

}

/** Makes strong values usable as keys of unordered containers. */
template<typename Tag, typename Representation>
struct std::hash<Core::StrongValue<Tag, Representation>> {
    std::size_t operator()(const Core::StrongValue<Tag, Representation> &value) const noexcept
    {
        return std::hash<Representation>{}(value.value());
    }
};
