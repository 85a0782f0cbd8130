/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// The oldest of the latest contacts with gateways. A gateway that takes over quota shares
// waits until no other gateway can hold them under an older list of gateways, so one
// gateway that is cut off decides, however many others are in contact.
//
// After all coordinators restarted, a gateway of which they know by their files only may be
// cut off since before. It still holds the shares that it held by the list of that time.
// A gateway at an address that was established in that list gets its own shares back, which
// the other one does not hold, so it need not wait for a contact with that one. Any other
// gateway has to.

#pragma once

#include <LibFleet/BackendRegistry.h>

#include <unordered_set>

namespace Fleet
{

/** What a coordinator stated of the contacts with all gateways other than the one it told. */
struct ContactStatement {
    /** Each of them held the coordinator's list of gateways at this time or later. */
    Core::Instant oldestContact;
    /** The list has contained the gateway that was told since this time at the latest. */
    Core::Instant listedSince;
    Core::Instant statedAt;
};

/** Summary of the contacts with all ready gateways, which answers for each of them without another look at all. */
class ContactSummary
{
public:
    ContactSummary() = default;

    /**
     * Summarises the gateways of a registry. A gateway that restarted is listed with its earlier incarnation until that one's heartbeat timeout is over; the
     * earlier process has ended, so the latest incarnation counts.
     */
    ContactSummary(const BackendRegistry &gateways, Core::Instant now);

    /**
     * Returns the oldest of the latest contacts with each ready gateway at another address; the time of the summary if there is no other gateway. Nothing if
     * a contact is unknown. For an established address, gateways that are unconfirmed don't count.
     */
    [[nodiscard]] std::optional<Core::Instant> oldestExcept(const std::string &address) const;

    [[nodiscard]] Core::Duration ageAt(Core::Instant now) const;
    /** Whether it contains all gateways of the registry and no others. */
    [[nodiscard]] bool isOf(const BackendRegistry &gateways) const;

private:
    struct Row {
        // Nothing while unknown, which orders before any time.
        std::optional<Core::Instant> contact;
        std::string address;
    };

    using Rows = std::vector<Row>;
    [[nodiscard]] static Rows oldestOf(Rows rows);

    // The two oldest, since one of them may be of the gateway that is left out; of all gateways, and of those that are not unconfirmed. Invariant: ordered by
    // contact.
    Rows oldest;
    Rows oldestConfirmed;
    std::unordered_set<std::string> establishedAddresses;
    Core::Instant takenAt;
    std::int64_t position{-1};
};

}
