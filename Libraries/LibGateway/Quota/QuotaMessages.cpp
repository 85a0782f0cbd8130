/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/QuotaMessages.h>

#include <LibCore/Settings.h>
#include <LibGateway/RelayPlan.h>

#include <algorithm>

namespace Gateway
{

static constexpr std::int64_t MaximumMilliseconds = 86'400'000;
static constexpr std::int64_t MaximumPriority = 1'000'000;
// More keepers than this are not read; a workspace has two in each region.
static constexpr std::size_t MaximumExhausted = 64;
// Values of the first field of a reply.
static constexpr std::int64_t Refused = 0;
static constexpr std::int64_t Granted = 1;
static constexpr std::int64_t Starting = 2;

// Callers wait at most this part of the time that they have left when the refusal arrives.
static constexpr int WaitDivisor = 3;
// Time until the refusal has arrived at the caller: some hops and a turn of the gateway.
static constexpr Core::Duration RefusalTravelTime = Core::milliseconds(20);
// A request that has less than this part of its target left after the wait is usually not answered before its caller gives up.
static constexpr int NeededTargetDivisor = 2;

// Facts that gateways of an older build don't know are written as entries of the list of exhausted keepers, with an address that no keeper has: those gateways
// read any entry ADDRESS=NUMBER and ignore unknown keepers.
static constexpr std::string_view StartingSuffix = ";starting";
static constexpr std::string_view NextHasReservedEntry = ";next=1";

static std::string joinExhausted(const std::vector<ExhaustedKeeper> &exhausted)
{
    std::string text;
    for (const auto &keeper : exhausted) {
        text += text.empty() ? "" : ",";
        const auto validity = "=" + std::to_string(Core::toMilliseconds(keeper.validFor));
        text += keeper.address + validity;
        if (keeper.isStarting) {
            text += "," + keeper.address + std::string(StartingSuffix) + validity;
        }
    }
    return text;
}

static std::optional<ExhaustedKeeper> readExhausted(const std::string &field)
{
    const auto separator = field.rfind('=');
    if (separator == std::string::npos || separator == 0) {
        return std::nullopt;
    }
    const auto milliseconds = Core::parseInteger(field.substr(separator + 1), 0, MaximumMilliseconds);
    if (!milliseconds.has_value()) {
        return std::nullopt;
    }
    return ExhaustedKeeper{.address = field.substr(0, separator), .validFor = Core::milliseconds(milliseconds.value())};
}

// Adds a keeper to the list. The entry that says that it is starting follows the keeper's own and adds nothing else.
static void addExhausted(std::vector<ExhaustedKeeper> &exhausted, ExhaustedKeeper keeper)
{
    if (!exhausted.empty() && keeper.address == exhausted.back().address + std::string(StartingSuffix)) {
        exhausted.back().isStarting = true;
        return;
    }
    if (exhausted.size() < MaximumExhausted) {
        exhausted.push_back(std::move(keeper));
    }
}

static std::optional<QuotaTerms> readTerms(const std::vector<std::string> &fields)
{
    static constexpr std::size_t TermCount = 5;
    if (fields.size() < TermCount || fields[2].empty()) {
        return std::nullopt;
    }
    const auto workspacePriority = Core::parseInteger(fields[0], 0, MaximumPriority);
    const auto routePriority = Core::parseInteger(fields[1], 0, MaximumPriority);
    const auto timeLeft = Core::parseInteger(fields[3], 0, MaximumMilliseconds);
    const auto targetLeft = Core::parseInteger(fields[4], 0, MaximumMilliseconds);
    if (!workspacePriority.has_value() || !routePriority.has_value() || !timeLeft.has_value() || !targetLeft.has_value()) {
        return std::nullopt;
    }
    return QuotaTerms{.urgency = {.workspace = static_cast<int>(workspacePriority.value()), .route = static_cast<int>(routePriority.value())},
        .digest = Fleet::RequestDigest(fields[2]),
        .timeLeft = Core::milliseconds(timeLeft.value()),
        .targetLeft = Core::milliseconds(targetLeft.value())};
}

// An unknown mode counts as none, since a reservation that nobody claims withholds its token from others.
static ReservationMode readReservationMode(const std::vector<std::string> &fields)
{
    static constexpr std::size_t ModeField = 5;
    const auto mode = fields.size() > ModeField ? Core::parseInteger(fields[ModeField], 0, static_cast<int>(ReservationMode::Always)) : 0;
    return mode.has_value() ? static_cast<ReservationMode>(mode.value()) : ReservationMode::Never;
}

static bool readIsRepeated(const std::vector<std::string> &fields)
{
    static constexpr std::size_t RepeatedField = 6;
    return fields.size() > RepeatedField && fields[RepeatedField] == "1";
}

static std::string writeTerms(const QuotaTerms &terms, ReservationMode reservation, bool isRepeated)
{
    const auto milliseconds = [](Core::Duration duration) {
        return std::to_string(std::clamp<std::int64_t>(Core::toMilliseconds(duration), 0, MaximumMilliseconds));
    };
    return std::to_string(terms.urgency.workspace) + "," + std::to_string(terms.urgency.route) + "," + terms.digest.value() + "," + milliseconds(terms.timeLeft)
        + "," + milliseconds(terms.targetLeft) + "," + std::to_string(static_cast<int>(reservation)) + (isRepeated ? ",1" : "");
}

void addQuotaQuery(Wire::Headers &headers, const QuotaQuery &query, const std::vector<ExhaustedKeeper> &exhausted)
{
    headers.push_back({RelayHeader::Quota, query.workspace.value()});
    if (query.terms.has_value()) {
        headers.push_back({RelayHeader::QuotaTerms, writeTerms(query.terms.value(), query.reservation, query.isRepeated)});
    }
    if (!exhausted.empty()) {
        headers.push_back({RelayHeader::QuotaExhausted, joinExhausted(exhausted)});
    }
}

std::optional<ReceivedQuotaQuery> extractQuotaQuery(Wire::Headers &headers)
{
    auto name = Wire::extractHeader(headers, RelayHeader::Quota);
    const auto terms = Wire::extractHeader(headers, RelayHeader::QuotaTerms);
    const auto exhausted = Wire::extractHeader(headers, RelayHeader::QuotaExhausted);
    if (!name.has_value()) {
        return std::nullopt;
    }
    ReceivedQuotaQuery received;
    received.query.workspace = Fleet::WorkspaceName(std::move(name.value()));
    const auto fields = Core::splitList(terms.value_or(std::string()));
    received.query.terms = readTerms(fields);
    received.query.reservation = received.query.terms.has_value() ? readReservationMode(fields) : ReservationMode::Never;
    received.query.isRepeated = received.query.terms.has_value() && readIsRepeated(fields);
    for (const auto &field : Core::splitList(exhausted.value_or(std::string()))) {
        auto keeper = readExhausted(field);
        if (keeper.has_value()) {
            addExhausted(received.exhausted, std::move(keeper.value()));
        }
    }
    return received;
}

std::string writeQuotaReply(const QuotaReply &reply, bool hasTerms)
{
    const auto refusal = reply.isStarting && hasTerms ? Starting : Refused;
    auto body = std::to_string(reply.granted ? Granted : refusal) + "," + std::to_string(Core::toMilliseconds(reply.freeAfter)) + ","
        + std::to_string(Core::toMilliseconds(reply.retryAfter));
    if (!hasTerms) {
        return body;
    }
    body += reply.isReserved ? ",1" : ",0";
    body += reply.exhausted.empty() ? "" : "," + joinExhausted(reply.exhausted);
    return reply.mayNextHaveReserved ? body + "," + std::string(NextHasReservedEntry) : body;
}

std::optional<QuotaReply> readQuotaReply(const std::string &body)
{
    const auto fields = Core::splitList(body);
    static constexpr std::size_t OldFieldCount = 3;
    if (fields.size() < OldFieldCount) {
        return std::nullopt;
    }
    const auto verdict = Core::parseInteger(fields[0], Refused, Starting);
    const auto freeAfter = Core::parseInteger(fields[1], 0, MaximumMilliseconds);
    const auto retryAfter = Core::parseInteger(fields[2], 0, MaximumMilliseconds);
    if (!verdict.has_value() || !freeAfter.has_value() || !retryAfter.has_value()) {
        return std::nullopt;
    }
    QuotaReply reply{.isKeeper = true,
        .granted = verdict.value() == Granted,
        .isStarting = verdict.value() == Starting,
        .freeAfter = Core::milliseconds(freeAfter.value()),
        .retryAfter = Core::milliseconds(retryAfter.value()),
        .exhausted = {}};
    if (fields.size() == OldFieldCount) {
        return reply;
    }
    const auto reserved = Core::parseInteger(fields[OldFieldCount], 0, 1);
    if (!reserved.has_value()) {
        return std::nullopt;
    }
    reply.isReserved = reserved.value() == 1;
    for (std::size_t index = OldFieldCount + 1; index < fields.size(); ++index) {
        if (fields[index] == NextHasReservedEntry) {
            reply.mayNextHaveReserved = true;
            continue;
        }
        auto keeper = readExhausted(fields[index]);
        if (!keeper.has_value()) {
            return std::nullopt;
        }
        addExhausted(reply.exhausted, std::move(keeper.value()));
    }
    return reply;
}

bool isWaitUseful(const QuotaTerms &terms, Core::Duration wait)
{
    return wait <= (terms.timeLeft - RefusalTravelTime) / WaitDivisor && terms.timeLeft - wait >= terms.targetLeft / NeededTargetDivisor;
}

}
