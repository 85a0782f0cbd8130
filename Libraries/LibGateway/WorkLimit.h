/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// How long backend servers are told that a part of a search is waited for. A
// search leaves at its target if enough shards are in, so work on the others
// past that is work on what nobody will read, while newer searches queue behind
// it. Pure.

#pragma once

#include <LibCore/Time.h>

namespace Gateway
{

/** When an answer stops being of use, and when that is not believed. */
struct WorkLimitOptions {
    /** Past the target; a round trip between regions and some, for a search that waits a little longer for its last shards. */
    Core::Duration grace{Core::milliseconds(40)};
    /** With a larger share of sends cut short, answers come late everywhere, and late ones are all that callers can get. */
    double mostCut{0.25};
    /** Weight of the newest send in that share, and how fast it fades, so that the limit is tried again. */
    double weight{0.05};
    double halfLifeSeconds{2.0};
};

/** Of one route. */
class WorkLimit
{
public:
    explicit WorkLimit(WorkLimitOptions options = {});

    /** What a backend server is told: `timeLeft`, unless the work would be of no use earlier. */
    [[nodiscard]] Core::Duration timeFor(Core::Duration timeLeft, Core::Duration untilTarget, Core::Duration typicalLatency, Core::Instant now) const;

    /** A send with a limit was answered within it. */
    void recordAnswered(Core::Instant now);
    /** A send ended without an answer once its limit was over. */
    void recordTimeout(Core::Instant now);

private:
    [[nodiscard]] double cutShare(Core::Instant now) const;
    void note(double cut, Core::Instant now);

    WorkLimitOptions options;
    double share{0.0};
    Core::Instant shareTime;
};

}
