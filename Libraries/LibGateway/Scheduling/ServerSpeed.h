/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// How fast a backend server is: lasting speed, temporary slowdown, and pauses kept apart.
//
// Load pattern: servers differ for good (0.8 to 1.3 of the usual time), a part of them is 2.5
// times slower for half a second or 5 to 10 times slower for 5 to 8 s, and each of them pauses
// for 200 to 250 ms every 4.5 to 6 s. Some gateways send a server one to three requests a
// second, and the owner of a cell twenty. Searches have targets of 80 to 300 ms: a wave has
// to be noticed after one or two answers, and a pause, which is over when its late
// answer arrives, must not move the requests that follow to another region.
//
// Rules:
// V1. One late answer is not a slowdown. It takes a second one that can't be due to the
//     same pause: counted from the arrival of the first late answer, it was late as well.
// V2. A slowdown fades to half within 0.6 s after its latest late answer, and within up to 1.5 s
//     where a gateway has few answers. So a server that has recovered gets requests again
//     within about a second, and the gateways do not all return at the same time.
// V3. What another gateway observed counts as long as this one has no newer answer, and for
//     ReportedSlowdownLifetime at most.
// Pure.

#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace Gateway
{

/** A slowdown that another gateway reported is not used once its observation is older than this. */
inline constexpr Core::Duration ReportedSlowdownLifetime = Core::milliseconds(1500);
/** An answer that takes this many times the server's lasting speed is late. Servers that are 2.5 times slower exceed it. */
inline constexpr double LateFactor = 2.0;
/** Greatest factor by which a server counts as slowed down; with more it is not chosen in any case. */
inline constexpr double MaximumSlowdown = 12.0;
/** Maximum number of log lines about changes of speed, for all servers of a pool. */
inline constexpr int SpeedLinesPerSecond = 5;
/** The same for pauses, which every server has every few seconds: they must not displace the lines about slowdowns. */
inline constexpr int PauseLinesPerSecond = 1;

/** Which information on a slowdown counts. */
enum class SpeedBasis {
    /** What this gateway observed and another one reported, as it fades. */
    All,
    /** Only what this gateway observed, as it fades. */
    Own,
    /**
     * What this gateway observed within the last three seconds, without fading. Where all servers of a shard are slow, the one that was used last would
     * otherwise always look slowest, and the requests would move from one to the next.
     */
    Latest,
};

/** One answer that this gateway received directly from the backend server. */
struct SpeedSample {
    /** Time from send to answer without the way to another region, in multiples of `typical`. */
    double ratio{1.0};
    /** Typical latency of such requests. */
    Core::Duration typical{Core::seconds(1)};
    Core::Instant sentAt;
    /** Work that was ahead of the request, in multiples of its own. */
    double queueing{0.0};
};

enum class SpeedChangeKind {
    /** The lasting speed. */
    Lasting,
    /** A slowdown began (factor over 1) or ended (factor 1). */
    Slowdown,
    /** An answer arrived after a pause. */
    Pause,
};

/** A change of speed that is to be logged. */
struct SpeedChange {
    SpeedChangeKind kind{SpeedChangeKind::Lasting};
    double factor{1.0};
    /** Number of answers that the change rests on; 0 if another gateway reported it. */
    int samples{0};
    /** Time since the first of them that was late; the length of the silence for a pause. */
    Core::Duration age{0};
};

/** Speed of one backend server as one gateway knows it. Factors are multiples of the usual time. */
class ServerSpeed
{
public:
    /** Records an answer. Returns whether it was in time. */
    bool record(const SpeedSample &sample, Core::Instant now);

    /** Takes in a slowdown that another gateway observed. Returns whether it is newer than the one that is held, and valid. */
    bool receive(double factor, Core::Instant observedAt, Core::Instant now);

    /** Returns the lasting speed; 1 if too little is known. */
    [[nodiscard]] double lasting(Core::Instant now) const;
    /** Returns the temporary slowdown, at least 1; exactly 1 once the information is too old. */
    [[nodiscard]] double slowdown(Core::Instant now, SpeedBasis basis = SpeedBasis::All) const;
    /** Whether a slowdown reported by another gateway counts. */
    [[nodiscard]] bool hasReport(Core::Instant now) const;
    /** Until when this gateway's own slowdown is told to others. */
    [[nodiscard]] Core::Instant reportableUntil() const;
    /** Returns the change since the last call that returned one, if there is one to log. */
    [[nodiscard]] std::optional<SpeedChange> takeChange(Core::Instant now);

private:
    [[nodiscard]] double ownSlowdown(Core::Instant now) const;
    [[nodiscard]] double reportedSlowdown(Core::Instant now) const;
    [[nodiscard]] Core::Duration slowdownLifetime() const;
    [[nodiscard]] bool isLate(double ratio, const SpeedSample &sample, Core::Instant now) const;
    void recordLate(double ratio, const SpeedSample &sample, Core::Instant now);
    void recordInTime(double ratio, Core::Instant now);
    void learnLasting(double ratio, Core::Instant now);

    double speed{1.0};
    int speedSamples{0};
    Core::Instant speedAt;
    // Invariant: from 1 to MaximumSlowdown; 1 if none was confirmed.
    double slowFactor{1.0};
    // Time until half of the slowdown has faded.
    Core::Duration halfLife{0};
    // Slowdown that the latest late answer suggests on its own.
    double suspected{1.0};
    // Late answers in succession; 0 if the latest answer was in time.
    int lateAnswers{0};
    Core::Instant lateSince;
    Core::Instant lateAt;
    Core::Instant latest;
    double reportedFactor{1.0};
    Core::Instant reportedAt;
    double loggedSpeed{1.0};
    bool loggedSlow{false};
};

}
