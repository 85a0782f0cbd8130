# SPDX-FileCopyrightText: 2026 the crankrudder developers
# SPDX-License-Identifier: BSD-2-Clause
"""Budget checks of the fault soak, by what backend servers received: repeats of a
service in any window, attempts at more servers of a service than the route allows,
and time limits beyond the caller's own. Each holds over all gateways together."""

import bisect

RETRY_RATIO = 0.2
RETRY_WINDOW_SECONDS = 10.0
MAXIMUM_ATTEMPTS = 2
# A send that follows the first one by more than this, and ends more than this after both the first send and the caller, is given too much time.
DEADLINE_SLACK_SECONDS = 0.5
# Sends with too much time are excused up to this number, and up to this share of all sends that late.
MAXIMUM_LATE_ENDS = 20
MAXIMUM_LATE_END_SHARE = 0.2


class BudgetCheck:
    """Records what callers send and what arrives at backend servers in one run."""

    def __init__(self, slack):
        self.slack = slack
        # Of each caller's attempt: when it was sent, its kind, and its time limit in seconds.
        self.requests = {}
        # (time, service, backend, request id, time limit in seconds or None) of everything that arrives at backend servers.
        self.arrivals = []
        # Times at which each backend server ended.
        self.ends = {}

    def record_request(self, now, request_id, kind, limit):
        self.requests[request_id] = (now, kind, limit)

    def record_arrival(self, now, service, backend, request_id, deadline_ms):
        limit = None if deadline_ms is None else float(deadline_ms) / 1000
        self.arrivals.append((now, service, backend, request_id, limit))

    def record_end(self, now, backend):
        self.ends.setdefault(backend, []).append(now)

    # ---- Repeats of a service in a window

    def window_use(self):
        """Returns the largest use of the window of each service, as a fraction of what is allowed."""
        sent = {True: [], False: []}
        for at, kind, _ in self.requests.values():
            sent[kind == "search"].append(at)
        for times in sent.values():
            times.sort()
        repeats = {}
        seen = set()
        for at, service, _, request_id, _ in sorted(self.arrivals, key=lambda arrival: arrival[0]):
            if (service, request_id) in seen:
                repeats.setdefault(service, []).append(at)
            seen.add((service, request_id))
        return {service: max(self.use_at(times, at, sent[service.startswith("shard")]) for at in times) for service, times in repeats.items()}

    def use_at(self, repeats, at, sent):
        window = RETRY_WINDOW_SECONDS
        count = bisect.bisect_right(repeats, at) - bisect.bisect_left(repeats, at - window)

        def requests_until(end):
            return bisect.bisect_right(sent, end) - bisect.bisect_left(sent, end - window)

        requests = max(requests_until(at), requests_until(at - window), requests_until(at - window / 2))
        return count / (RETRY_RATIO * requests + self.slack)

    # ---- Attempts at too many servers

    def excessive_attempts(self, runs_by_request, excused):
        """Returns (request id, service, servers) of each request that ran on more servers of a service than allowed, without the excused servers."""
        found = []
        for request_id, runs in runs_by_request.items():
            for service in {run.service for run in runs}:
                servers = [run.backend for run in runs if run.service == service and run.backend not in excused]
                if len(set(servers)) > MAXIMUM_ATTEMPTS:
                    found.append((request_id, service, servers))
        return found

    # ---- Time limits

    def late_ends(self):
        """Returns how many sends were given too much time, and how many were made late enough to be judged."""
        excessive = judged = 0
        firsts = {}
        for at, service, _, request_id, limit in sorted(self.arrivals, key=lambda arrival: arrival[0]):
            if request_id not in self.requests:
                continue
            sent_at, _, caller_limit = self.requests[request_id]
            caller_end = sent_at + caller_limit
            end = float("inf") if limit is None else at + limit
            first_at, first_end = firsts.setdefault((request_id, service), (at, end))
            is_late = at - first_at > DEADLINE_SLACK_SECONDS
            judged += is_late
            beyond_own_limit = limit is None or limit > caller_limit + DEADLINE_SLACK_SECONDS
            excessive += beyond_own_limit or (is_late and end > max(first_end, caller_end) + DEADLINE_SLACK_SECONDS)
        return excessive, judged

    def describe_server(self, backend):
        return f"{backend} (ended)" if backend in self.ends else backend

    def failures(self, runs_by_request, excused):
        """Yields (promise, detail) of everything that exceeds its budget. Runs at excused servers are no attempts."""
        for service, use in self.window_use().items():
            if use > 1:
                yield "repeats-over-budget", f"{service}: {use:.2f} of the allowed repeats in a window"
        for request_id, service, servers in self.excessive_attempts(runs_by_request, excused):
            yield "too-many-attempts", f"{request_id} at {service}: {' '.join(map(self.describe_server, servers))}"
        excessive, judged = self.late_ends()
        if excessive > max(MAXIMUM_LATE_ENDS, MAXIMUM_LATE_END_SHARE * judged):
            yield "too-much-time", f"{excessive} sends, {judged} were sent again late"
