/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Results of a load run: latencies, coverage and counts of answers that break a guarantee.

#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Load
{

/** Results of one stream of requests. */
struct Tally {
    std::uint64_t sent{0};
    std::uint64_t answered{0};
    std::uint64_t partial{0};
    std::uint64_t refusedNotRun{0};
    std::uint64_t refusedUnknown{0};
    /** Requests without any HTTP answer. */
    std::uint64_t lost{0};
    std::uint64_t withinDeadline{0};
    std::uint64_t shardsRequested{0};
    std::uint64_t shardsIncluded{0};
    std::uint64_t mixedSnapshots{0};
    std::uint64_t wrongAnswers{0};
    std::uint64_t snapshotWentBack{0};
    std::vector<Core::Duration> latencies;

    [[nodiscard]] Core::Duration quantile(double quantile);
    [[nodiscard]] double coveredPercent() const;
    void add(const Tally &other);
};

}
