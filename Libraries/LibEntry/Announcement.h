/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Announcements of backend servers, as JSON from the backend servers and as
// Thrift between entry instances.

#pragma once

#include <LibCore/Json.h>
#include <LibCore/Result.h>
#include <LibProtocol/Generated/entry_types.h>

namespace Entry
{

/** Reads an announcement and checks every member of it. */
[[nodiscard]] Core::Result<Protocol::Announcement> announcementFromJson(const nlohmann::json &document);

/** The document that announcementFromJson() reads. */
[[nodiscard]] nlohmann::json announcementToJson(const Protocol::Announcement &announcement);

/** What is wrong with an announcement, whatever way it came. */
[[nodiscard]] Core::Result<void> checkAnnouncement(const Protocol::Announcement &announcement);

/** The name of a state in JSON. */
[[nodiscard]] const char *backendStateName(Protocol::BackendState::type state);

}
