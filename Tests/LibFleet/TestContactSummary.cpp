/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Which contacts with gateways are known, and which of them is the oldest.

#include <LibFleet/ContactSummary.h>

#include <criterion/criterion.h>

namespace
{

Core::Instant at(std::int64_t milliseconds)
{
    return Core::Instant(Core::milliseconds(milliseconds));
}

void announce(Fleet::BackendRegistry &gateways, const std::string &id, const std::string &address)
{
    Protocol::BackendAnnouncement announcement;
    announcement.id = id;
    announcement.address = address;
    announcement.phase = Protocol::BackendPhase::READY;
    announcement.sequence = 1;
    gateways.merge(announcement, at(0));
}

}

// Guards against a silent gateway that is overlooked because others are in contact, and against a gateway that waits for itself.
Test(ContactSummary, returnsTheOldestContactOfTheOthers)
{
    Fleet::BackendRegistry gateways;
    cr_assert(Fleet::ContactSummary(gateways, at(7)).oldestExcept("own") == at(7), "nobody else");
    for (const char *name : {"a", "b", "c"}) {
        announce(gateways, name, name);
    }
    gateways.recordContact("a", at(300));
    gateways.recordDirectContact("b", at(100));
    gateways.recordContact("c", at(200));
    gateways.recordContact("b", at(50));
    const Fleet::ContactSummary summary(gateways, at(400));
    cr_assert(summary.oldestExcept("a") == at(100));
    cr_assert(summary.oldestExcept("b") == at(200));
    announce(gateways, "d", "d");
    cr_assert_not(summary.isOf(gateways), "a gateway was added");
    const Fleet::ContactSummary unknown(gateways, at(400));
    cr_assert(unknown.isOf(gateways) && !unknown.oldestExcept("a").has_value(), "a contact that is not known is not a recent one");
    cr_assert(unknown.oldestExcept("d") == at(100));
}

// Guards against a gateway that is taken for absent, or for in contact, because all coordinators restarted and know of it by their files only: it may be cut
// off and hold its shares. And against a wait for it where the list that it holds contains the address of the gateway that asks.
Test(ContactSummary, waitsForRestoredGatewaysUnlessTheAddressWasEstablished)
{
    Fleet::BackendRegistry gateways;
    for (const auto &[name, isEstablished] : {std::pair("cut", true), std::pair("established", true), std::pair("recent", false)}) {
        Protocol::BackendAnnouncement stored;
        stored.id = std::string(name) + "/1";
        stored.address = name;
        stored.phase = Protocol::BackendPhase::READY;
        stored.sequence = 1;
        stored.__set_isEstablished(isEstablished);
        gateways.restore(stored, at(100));
    }
    for (const char *name : {"established", "recent", "new"}) {
        announce(gateways, std::string(name) + "/2", name);
        gateways.recordDirectContact(std::string(name) + "/2", at(200));
    }
    const Fleet::ContactSummary summary(gateways, at(300));
    cr_assert_not(summary.oldestExcept("new").has_value(), "the one that is cut off does not know it");
    cr_assert_not(summary.oldestExcept("recent").has_value(), "the one that is cut off may not have heard of it");
    cr_assert(summary.oldestExcept("established") == at(200));
    gateways.recordRemoteHeartbeat("cut/1", at(310));
    cr_assert_not(Fleet::ContactSummary(gateways, at(320)).oldestExcept("established").has_value(), "it runs, and may have received a later list");
    gateways.recordContact("cut/1", at(330));
    cr_assert(Fleet::ContactSummary(gateways, at(340)).oldestExcept("new") == at(200));
}

// Guards against a wait for the earlier process of a gateway that restarted, and against its contacts that count for the new one.
Test(ContactSummary, countsTheLatestIncarnationAtAnAddress)
{
    Fleet::BackendRegistry gateways;
    announce(gateways, "a/1", "a");
    gateways.recordDirectContact("a/1", at(100));
    announce(gateways, "a/2", "a");
    cr_assert_not(Fleet::ContactSummary(gateways, at(200)).oldestExcept("b").has_value());
    gateways.recordDirectContact("a/2", at(150));
    cr_assert(Fleet::ContactSummary(gateways, at(200)).oldestExcept("b") == at(150));
    cr_assert(Fleet::ContactSummary(gateways, at(200)).oldestExcept("a") == at(200), "its own earlier incarnation");
}
