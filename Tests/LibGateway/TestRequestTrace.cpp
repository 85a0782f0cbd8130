/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of the digest that identifies the content of a request.

#include <LibGateway/RequestTrace.h>

#include <criterion/criterion.h>

using Gateway::CallerRequest;

namespace
{

CallerRequest makeRequest()
{
    CallerRequest request;
    request.id = Core::RequestId("first");
    request.host = "h.example";
    request.message.method = "POST";
    request.message.target = "/x/1?page=2";
    request.message.body = "content";
    return request;
}

}

Test(RequestDigest, isTheSameForRetries)
{
    const auto first = makeRequest();
    auto retry = makeRequest();
    retry.id = Core::RequestId("second");
    retry.callerTimeout = Core::milliseconds(20);
    retry.message.headers.push_back({"Deadline-Ms", "20"});
    cr_assert(Gateway::digestOf(first) == Gateway::digestOf(retry));
}

Test(RequestDigest, differsWithEachPartOfTheContent)
{
    const auto digest = Gateway::digestOf(makeRequest());
    const std::vector<std::function<void(CallerRequest &)>> changes{
        [](CallerRequest &request) {
            request.host = "i.example";
        },
        [](CallerRequest &request) {
            request.message.method = "PUT";
        },
        [](CallerRequest &request) {
            request.message.target = "/x/1?page=3";
        },
        [](CallerRequest &request) {
            request.workspace = Fleet::WorkspaceName("alpha");
        },
        [](CallerRequest &request) {
            request.message.body = "Content";
        },
        // Moves a character from one part to the next.
        [](CallerRequest &request) {
            request.host = "h.exampl";
            request.message.target = "e/x/1?page=2";
        },
    };
    for (std::size_t number = 0; number < changes.size(); ++number) {
        auto other = makeRequest();
        changes[number](other);
        cr_assert(Gateway::digestOf(other) != digest, "change %zu", number);
    }
}

Test(RequestTrace, tellsWhetherARequestMayBeRepeated)
{
    struct Case {
        const char *name;
        Gateway::RequestTrace trace;
        bool dangerous;
        bool awaitsCheck;
        int reported;
    };
    const std::vector<Case> cases{
        {"no crash", {}, false, false, 0},
        {"two crashes", {.breaks = 2, .crashes = 2}, false, false, 2},
        {"two crashes and a third break", {.breaks = 3, .crashes = 2}, false, true, 2},
        {"three crashes", {.breaks = 3, .crashes = 3}, true, true, 3},
        {"three crashes and an answer", {.breaks = 3, .crashes = 3, .answered = true}, false, false, 3},
        {"suspect", {.isSuspect = true}, false, true, 3},
        {"suspect with one crash", {.isSuspect = true, .breaks = 1, .crashes = 1}, true, true, 3},
        {"suspect with an answer", {.isSuspect = true, .breaks = 1, .crashes = 1, .answered = true}, false, false, 1},
    };
    for (const auto &item : cases) {
        cr_assert_eq(Gateway::isDangerousToRepeat(item.trace), item.dangerous, "%s", item.name);
        cr_assert_eq(Gateway::mustAwaitCrashCheck(item.trace), item.awaitsCheck, "%s", item.name);
        cr_assert_eq(Gateway::crashesToReport(item.trace), item.reported, "%s", item.name);
    }
}
