/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Scheduling/OwnerLoad.h>

#include <LibCore/Log.h>

#include <algorithm>
#include <cmath>

namespace Gateway
{

// Pressure below which an owner is not passed over: at half of its time it delays a part by 11 ms more than an idle one, a seventh of the shortest target.
static constexpr double BusyPressure = 0.5;
// Pressure below which the share that is diverted from an owner falls, however idle the others are.
static constexpr double IdlePressure = 0.4;
// Difference of pressures from which on the share rises. Between 0.5 and 0.65 a part waits 9 ms longer, a tenth of the shortest target.
static constexpr double PassOverMargin = 0.15;
// Difference above which the share does not fall. Between the two margins it stays, so that it does not follow the noise of single parts.
static constexpr double ReturnMargin = 0.05;
// Share that is diverted for each unit of pressure beyond the margin. A diverted share changes the difference between two full owners by up to twice as much,
// and reports show that after 0.7 s (smoothing and the way). The difference is reduced to a quarter with this gain, and does not overshoot.
static constexpr double SharePerPressure = 1.5;
// Part of the way to its target by which a report moves the share. With reports a second apart, the effect of one is seen before the next, and the share does
// not overshoot as long as this is less than the inverse of 1 + 2 x SharePerPressure.
static constexpr double ApproachShare = 0.25;
// Largest change with one report, so that a false one moves few parts.
static constexpr double MaximumStep = 0.1;
// A share that is closer to its target reaches it.
static constexpr double NegligibleShare = 0.01;
// A passed-over owner keeps a quarter of the parts, so that its reports remain fresh and a false report can't take all of them from it.
static constexpr double MaximumShare = 0.75;
// An owner that did not report after a part was sent to learn its load is tried again after this time: gateways of an older build never report.
static constexpr Core::Duration SilentProbePeriod = Core::seconds(10);
// An owner of which nothing was heard for this long is forgotten. Several times the period in which demand swings, so that shares survive one.
static constexpr Core::Duration OwnerMemory = Core::seconds(60);

void OwnerLoad::receive(const BackendName &owner, std::string_view header, Core::Duration transit, Core::Instant now)
{
    const auto report = parseLoad(header);
    if (!report.has_value() || transit > ReportLifetime) {
        ++this->counts.ignored;
        return;
    }
    ++this->counts.reports;
    auto &row = this->owners[owner];
    row.load = report.value();
    row.reportedAt = now;
}

bool OwnerLoad::isFresh(const Owner &owner, Core::Instant now)
{
    return owner.reportedAt.has_value() && now - owner.reportedAt.value() <= ReportLifetime;
}

bool OwnerLoad::mayProbe(const Owner &owner, Core::Instant now)
{
    const bool hasAnswered = owner.reportedAt.has_value() && owner.reportedAt >= owner.probedAt;
    return !owner.probedAt.has_value() || hasAnswered || now - owner.probedAt.value() >= SilentProbePeriod;
}

std::size_t OwnerLoad::leastBusyOther(const std::vector<BackendName> &owners, Core::Instant now) const
{
    std::size_t best = 0;
    double lowest = 0.0;
    for (std::size_t rank = 1; rank < owners.size(); ++rank) {
        const auto load = this->loadOf(owners[rank], now);
        if (load.has_value() && (best == 0 || load->pressure() < lowest)) {
            best = rank;
            lowest = load->pressure();
        }
    }
    return best;
}

void OwnerLoad::probe(std::vector<BackendName> &owners, Core::Instant now)
{
    const auto unknown = std::find_if(owners.begin() + 1, owners.end(), [this, now](const BackendName &name) {
        const auto row = this->owners.find(name);
        return row == this->owners.end() || (!isFresh(row->second, now) && mayProbe(row->second, now));
    });
    if (unknown != owners.end()) {
        this->owners[*unknown].probedAt = now;
        ++this->counts.probes;
        std::rotate(owners.begin(), unknown, unknown + 1);
    }
}

void OwnerLoad::adjust(Owner &preferred, const Owner &other, Core::Instant now)
{
    if (std::max(preferred.reportedAt, other.reportedAt) <= preferred.adjustedAt) {
        return;
    }
    preferred.adjustedAt = now;
    const double pressure = preferred.load.pressure();
    const double difference = pressure - other.load.pressure();
    const double lowest = pressure < BusyPressure ? 0.0 : std::clamp(SharePerPressure * (difference - PassOverMargin), 0.0, MaximumShare);
    const double highest = pressure < IdlePressure ? 0.0 : std::clamp(SharePerPressure * (difference - ReturnMargin), 0.0, MaximumShare);
    const double way = std::clamp(preferred.diverted, lowest, highest) - preferred.diverted;
    const double step = std::abs(way) < NegligibleShare ? way : std::clamp(ApproachShare * way, -MaximumStep, MaximumStep);
    preferred.diverted += step;
}

std::optional<KnownOwner> OwnerLoad::arrange(std::vector<BackendName> &owners, Core::Instant now)
{
    const auto found = owners.size() < 2 ? this->owners.end() : this->owners.find(owners.front());
    if (found == this->owners.end() || !isFresh(found->second, now)) {
        return std::nullopt;
    }
    const auto best = this->leastBusyOther(owners, now);
    if (best == 0) {
        if (found->second.load.pressure() >= BusyPressure) {
            this->probe(owners, now);
        }
        return std::nullopt;
    }
    auto &preferred = found->second;
    adjust(preferred, this->owners.at(owners[best]), now);
    // The least busy of the others comes second, where a part goes that the first one can't take.
    std::rotate(owners.begin() + 1, owners.begin() + static_cast<std::ptrdiff_t>(best), owners.begin() + static_cast<std::ptrdiff_t>(best) + 1);
    preferred.credit += preferred.diverted;
    if (preferred.credit >= 1.0) {
        preferred.credit -= 1.0;
        ++this->counts.passedOver;
        this->logPassedOver(owners[0], owners[1], now);
        std::swap(owners[0], owners[1]);
    }
    return KnownOwner{.name = owners[1], .load = this->owners.at(owners[1]).load};
}

void OwnerLoad::logPassedOver(const BackendName &owner, const BackendName &chosen, Core::Instant now)
{
    const auto omitted = this->lines.take(now);
    if (!omitted.has_value()) {
        return;
    }
    const auto &passed = this->owners.at(owner);
    const auto &taken = this->owners.at(chosen);
    Core::logEvent(Core::LogLevel::Information,
        "owner.passed_over",
        {{"owner", owner.value()},
            {"busy_percent", passed.load.busyPercent},
            {"late_ms", Core::toMilliseconds(passed.load.late)},
            {"age_ms", Core::toMilliseconds(now - passed.reportedAt.value())},
            {"share", passed.diverted},
            {"chosen", chosen.value()},
            {"chosen_busy_percent", taken.load.busyPercent},
            {"chosen_late_ms", Core::toMilliseconds(taken.load.late)},
            {"omitted", omitted.value()}});
}

void OwnerLoad::recordAnswer(std::size_t rank)
{
    ++this->counts.answeredByRank[std::min(rank, OwnerLoadCounters::Ranks - 1)];
}

void OwnerLoad::forget(Core::Instant now)
{
    std::erase_if(this->owners, [now](const auto &item) {
        return now - std::max(item.second.reportedAt, item.second.probedAt).value_or(now) > OwnerMemory;
    });
}

std::optional<LoopReport> OwnerLoad::loadOf(const BackendName &owner, Core::Instant now) const
{
    const auto found = this->owners.find(owner);
    return found != this->owners.end() && isFresh(found->second, now) ? std::optional(found->second.load) : std::nullopt;
}

double OwnerLoad::divertedShareOf(const BackendName &owner) const
{
    const auto found = this->owners.find(owner);
    return found == this->owners.end() ? 0.0 : found->second.diverted;
}

std::size_t OwnerLoad::ownerCount() const
{
    return this->owners.size();
}

const OwnerLoadCounters &OwnerLoad::counters() const
{
    return this->counts;
}

}
