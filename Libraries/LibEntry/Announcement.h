/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Conversion and validation of announcements. Backend servers send them as JSON;
// entry instances relay them to each other over Thrift.

#pragma once

#include <LibCore/Json.h>
#include <LibCore/Result.h>
#include <LibProtocol/Generated/entry_types.h>

namespace Entry
{

/** Parses an announcement and validates each of its members. */
[[nodiscard]] Core::Result<Protocol::Announcement> announcementFromJson(const nlohmann::json &document);

/** Converts an announcement to the document that announcementFromJson() parses. */
[[nodiscard]] nlohmann::json announcementToJson(const Protocol::Announcement &announcement);

/** Returns an error if an announcement, from JSON or from Thrift, is invalid. */
[[nodiscard]] Core::Result<void> checkAnnouncement(const Protocol::Announcement &announcement);

/** Name of a state in JSON. */
[[nodiscard]] const char *backendStateName(Protocol::BackendState::type state);

}
