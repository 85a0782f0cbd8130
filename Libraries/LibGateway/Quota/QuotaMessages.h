/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Quota queries between gateways and their replies, and how they are written on the wire
// (docs/LOAD-CONTROL.md, part 1). Gateways of an older build send queries without terms
// and read and write replies of three fields. Pure.

#pragma once

#include <LibGateway/Dialect.h>

#include <vector>

namespace Gateway
{

/** What a keeper needs to know of a request to rank it and to reserve a token for it. */
struct QuotaTerms {
    Urgency urgency;
    /** Identifies the content, which is the same for all attempts of a caller. */
    Fleet::RequestDigest digest;
    /** How long the caller still waits for its answer. */
    Core::Duration timeLeft{0};
    /** Time until the answer should leave. */
    Core::Duration targetLeft{0};
    /** Typical time until the answer of an admitted request. Not sent. */
    Core::Duration typicalLatency{0};
};

/** When a keeper may reserve a token for a request that it does not grant. A token that is reserved in vain is withheld from others for a while. */
enum class ReservationMode {
    /** The caller would not find its reservation at this keeper. */
    Never,
    /** If the keeper knows that all other keepers are exhausted; otherwise another one may grant a token. */
    IfOthersExhausted,
    /** All other keepers that are queried have refused. */
    Always,
};

/** Asks a keeper whether one more request of a workspace may be admitted. */
struct QuotaQuery {
    Fleet::WorkspaceName workspace;
    /** Empty in queries of gateways of an older build. */
    std::optional<QuotaTerms> terms;
    ReservationMode reservation{ReservationMode::Never};
    /** The keeper has replied to a query for this request before, so the request is in its measured demand. */
    bool isRepeated{false};
};

/** A keeper that grants nothing to requests of some urgency. */
struct ExhaustedKeeper {
    /** Address of the keeper. */
    std::string address;
    /** How long this is valid. */
    Core::Duration validFor{0};
    /** Its share was taken over only now and grants nothing yet. */
    bool isStarting{false};
};

/** Reply of a keeper to a quota query. */
struct QuotaReply {
    /** Whether the replying gateway holds a share of the workspace's quota; if not, the other fields say nothing. */
    bool isKeeper{false};
    bool granted{false};
    /** When not granted: the share was taken over only now and grants nothing yet, so nothing is known of the use of the quota. */
    bool isStarting{false};
    /** When not granted: time until this keeper may grant a request of this urgency; querying it earlier is useless. */
    Core::Duration freeAfter{0};
    /** When not granted: when the caller should return. */
    Core::Duration retryAfter{0};
    /** When not granted: a token is kept for the caller at `retryAfter`. */
    bool isReserved{false};
    /** When not granted: this keeper could not reserve a token for the content before, so the next keeper in the order of the digest may have done so. */
    bool mayNextHaveReserved{false};
    /** When granted: the token was reserved. Not sent. */
    bool isClaimed{false};
    /** Other keepers of the workspace that the replying one knows to be exhausted. */
    std::vector<ExhaustedKeeper> exhausted;
};

/** A query as it was received. */
struct ReceivedQuotaQuery {
    QuotaQuery query;
    /** Other keepers of the workspace that the querying gateway knows to be exhausted. */
    std::vector<ExhaustedKeeper> exhausted;
};

/** Adds a query to the headers of a request to a keeper. */
void addQuotaQuery(Wire::Headers &headers, const QuotaQuery &query, const std::vector<ExhaustedKeeper> &exhausted);

/** Removes the headers of a quota query. Returns nothing if they are not those of one. Unreadable terms count as none. */
[[nodiscard]] std::optional<ReceivedQuotaQuery> extractQuotaQuery(Wire::Headers &headers);

/** Writes the body of a reply: three fields to a query without terms. */
[[nodiscard]] std::string writeQuotaReply(const QuotaReply &reply, bool hasTerms);

/** Reads the body of a reply. Returns nothing if it is malformed. */
[[nodiscard]] std::optional<QuotaReply> readQuotaReply(const std::string &body);

/** Returns whether a caller would still wait for a token and be answered afterwards. */
[[nodiscard]] bool isWaitUseful(const QuotaTerms &terms, Core::Duration wait);

}
