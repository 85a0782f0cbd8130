/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Strong types for identifiers and counts, so that a shard index can never be
// passed where a revision is meant.

#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace Core
{

/** A value whose meaning is given by its tag. Two tags never mix. */
template<typename Tag, typename Representation>
class StrongValue
{
public:
    StrongValue() = default;
    explicit StrongValue(Representation value) : representation(std::move(value))
    {
    }

    /** The bare value, for output and for arithmetic at the edges. */
    [[nodiscard]] const Representation &value() const
    {
        return this->representation;
    }

    auto operator<=>(const StrongValue &) const = default;

private:
    Representation representation{};
};

/** Name of a service that operators declared. */
using ServiceName = StrongValue<struct ServiceNameTag, std::string>;
/** Name that a backend server gave itself; unique within its service. */
using ReplicaName = StrongValue<struct ReplicaNameTag, std::string>;
/** Name of an entry or control instance, from its settings. */
using InstanceName = StrongValue<struct InstanceNameTag, std::string>;
/** Name of an availability zone, from the settings. */
using ZoneName = StrongValue<struct ZoneNameTag, std::string>;
/** Position of a shard within one shard map, from 0. */
using ShardIndex = StrongValue<struct ShardIndexTag, std::int32_t>;
/** Number of an accepted configuration; grows by one with each change. */
using Revision = StrongValue<struct RevisionTag, std::int64_t>;
/** Position in the replicated log, from 1; 0 stands before the first entry. */
using LogIndex = StrongValue<struct LogIndexTag, std::int64_t>;
/** Election term of the replicated log. */
using Term = StrongValue<struct TermTag, std::int64_t>;
/** Unguessable name of one sub-request, made afresh for every attempt. */
using AttemptId = StrongValue<struct AttemptIdTag, std::string>;
/** Name of one caller's request, as shown in answers, logs and traces. */
using RequestId = StrongValue<struct RequestIdTag, std::string>;

}

/** Lets strong values be keys of unordered tables. */
template<typename Tag, typename Representation>
struct std::hash<Core::StrongValue<Tag, Representation>> {
    std::size_t operator()(const Core::StrongValue<Tag, Representation> &value) const noexcept
    {
        return std::hash<Representation>{}(value.value());
    }
};
