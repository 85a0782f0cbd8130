/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/SharedEvidence.h>

#include <LibCore/Log.h>
#include <LibCore/Settings.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <utility>

namespace Gateway
{

// Fields of an entry as sent, and with its source.
static constexpr std::size_t SentFields = 4;
static constexpr std::size_t FieldsWithSource = 5;
// A server that is slowed down by the greatest factor ranks like one that refused about five requests of the six that count.
static constexpr double SlownessWeight = 0.5;
// Factor by which SLOWNESS is rounded to two decimals.
static constexpr double Hundredths = 100.0;
// Bounds of a valid number. Larger ones come from no gateway.
static constexpr double MaximumNumber = 1000.0;

bool EvidenceReport::isExpired(Core::Instant now) const
{
    return now - this->observedAt >= EvidenceLifetime;
}

FadedOutcomes EvidenceReport::at(Core::Instant now) const
{
    return this->isExpired(now) ? FadedOutcomes{} : this->outcomes.faded(std::max(Core::Duration(0), now - this->observedAt));
}

bool EvidenceReport::isGood() const
{
    return this->outcomes.accepted > RestoredAcceptance * this->outcomes.total();
}

// E3. Evidence that arrives on two ways replaces itself.
bool replacesReport(const std::optional<EvidenceReport> &held, const EvidenceReport &received, Core::Instant now)
{
    if (received.isExpired(now)) {
        return false;
    }
    if (!held.has_value() || held->isExpired(now)) {
        return true;
    }
    if (!received.source.empty() && received.source == held->source) {
        return received.observedAt >= held->observedAt;
    }
    return received.at(now).total() > held->at(now).total();
}

void chooseEntries(std::vector<EvidenceEntry> &entries, Core::Instant now)
{
    if (entries.size() <= MaximumEvidenceEntries) {
        return;
    }
    const auto rank = [now](const EvidenceEntry &entry) {
        const double slowness = SlownessWeight * (entry.report.slowness - 1.0);
        return std::pair(entry.report.isGood() && slowness == 0.0, entry.report.at(now).refused + slowness);
    };
    std::partial_sort(entries.begin(), entries.begin() + MaximumEvidenceEntries, entries.end(), [&rank](const auto &left, const auto &right) {
        return rank(left) > rank(right);
    });
    entries.resize(MaximumEvidenceEntries);
}

// Names with separators or other characters than printable ASCII would break the header.
static bool isEncodable(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), [](char character) {
        return character > ' ' && character <= '~' && character != ',' && character != '=';
    });
}

std::string encodeEvidence(const std::vector<EvidenceEntry> &entries, Core::Instant now)
{
    std::string text;
    for (const auto &[server, report] : entries) {
        const auto &source = report.source;
        if (!isEncodable(server) || (!source.empty() && !isEncodable(source))) {
            continue;
        }
        text += fmt::format("{}{}={:.2f}/{:.2f}/{:g}/{}",
            text.empty() ? "" : ",",
            server,
            report.outcomes.accepted,
            report.outcomes.refused,
            std::round(report.slowness * Hundredths) / Hundredths,
            std::max<std::int64_t>(0, Core::toMilliseconds(now - report.observedAt)));
        text += source.empty() ? std::string() : "/" + source;
    }
    return text;
}

// Splits NAME=FIELD/FIELD/... into the name and its fields. A source may contain slashes itself, so it is the rest after the age.
static std::vector<std::string_view> fieldsOf(std::string_view entry)
{
    const auto equals = entry.find('=');
    if (equals == std::string_view::npos || equals == 0) {
        return {};
    }
    std::vector<std::string_view> fields;
    auto rest = entry.substr(equals + 1);
    for (auto slash = rest.find('/'); slash != std::string_view::npos && fields.size() < SentFields; slash = rest.find('/')) {
        fields.push_back(rest.substr(0, slash));
        rest.remove_prefix(slash + 1);
    }
    fields.push_back(rest);
    return fields;
}

// E2. Only the gateway that composed the header knows the sources.
std::string withoutOwnReports(std::string_view encoded, std::string_view receiver)
{
    std::vector<std::string> sent;
    for (auto &entry : Core::splitList(encoded)) {
        const auto fields = fieldsOf(entry);
        const bool hasSource = fields.size() == FieldsWithSource;
        if (hasSource && fields.back() == receiver) {
            continue;
        }
        sent.push_back(hasSource ? entry.substr(0, entry.size() - fields.back().size() - 1) : std::move(entry));
    }
    return Core::joinList(sent);
}

static std::optional<double> parseNumber(std::string_view text)
{
    double value = 0.0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool isWhole = read.ec == std::errc() && read.ptr == text.data() + text.size();
    // Written so that a value that is not a number is invalid.
    return isWhole && value >= 0.0 && value <= MaximumNumber ? std::optional(value) : std::nullopt;
}

static std::optional<EvidenceReport> parseReport(const std::vector<std::string_view> &fields, const std::string &source, Core::Instant sentAt)
{
    if (fields.size() != SentFields) {
        return std::nullopt;
    }
    const auto accepted = parseNumber(fields[0]);
    const auto refused = parseNumber(fields[1]);
    const auto slowness = parseNumber(fields[2]);
    const auto age = Core::parseInteger(fields[3], 0, Core::toMilliseconds(EvidenceLifetime));
    if (!accepted.has_value() || !refused.has_value() || !slowness.has_value() || !age.has_value()) {
        return std::nullopt;
    }
    const FadedOutcomes outcomes{.accepted = accepted.value(), .refused = refused.value()};
    return EvidenceReport{
        .outcomes = outcomes.limited(MaximumEvidence), .observedAt = sentAt - Core::milliseconds(age.value()), .source = source, .slowness = slowness.value()};
}

DecodedEvidence decodeEvidence(std::string_view text, const std::string &source, Core::Duration transit, Core::Instant now)
{
    DecodedEvidence result;
    for (const auto &entry : Core::splitList(text)) {
        const auto report = parseReport(fieldsOf(entry), source, now - transit);
        const bool isValid = report.has_value() && report->outcomes.total() > 0.0 && !report->isExpired(now);
        if (!isValid || result.entries.size() == MaximumEvidenceEntries) {
            ++result.ignored;
            continue;
        }
        result.entries.push_back({.server = entry.substr(0, entry.find('=')), .report = report.value()});
    }
    return result;
}

bool EvidenceLog::record(const EvidenceReceipt &receipt, Core::Instant now)
{
    const auto leftOut = this->lines.take(now);
    if (!leftOut.has_value()) {
        return false;
    }
    Core::logEvent(Core::LogLevel::Information,
        "evidence.received",
        {{"source", receipt.source.empty() ? std::string("part") : receipt.source},
            {"kept", receipt.kept},
            {"ignored", receipt.ignored},
            {"oldest_ms", Core::toMilliseconds(receipt.oldest)},
            {"left_out", leftOut.value()}});
    return true;
}

}
