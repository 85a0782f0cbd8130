// Tests how requests of callers are parsed, how replies of backend servers are checked, and how problems are reported.

#include <LibCore/Json.h>
#include <LibEntry/BackendClient.h>
#include <LibEntry/CallerInterface.h>

#include <criterion/criterion.h>

static Http::Request makeRequest(const std::string &method, const std::string &path, std::map<std::string, std::string> query = {}, const std::string &key = {})
{
    Http::Request request;
    request.method = method;
    request.path = path;
    request.query = std::move(query);
    request.header = [key](const char *name) {
        return std::string(name) == "Idempotency-Key" ? key : std::string();
    };
    return request;
}

static Entry::CallerRequest read(const Http::Request &request)
{
    return Entry::readCallerRequest(request, Core::RequestId("request"));
}

Test(CallerInterface, wellFormedRequestsAreParsed)
{
    const auto search
        = read(makeRequest("GET", "/v1/services/catalogue/search", {{"q", "bogie"}, {"limit", "5"}, {"minimum_snapshot", "7"}, {"class", "urgent"}}));
    const auto *query = std::get_if<Entry::QueryCall>(&search);
    cr_assert_not_null(query);
    cr_expect_eq(query->limit, 5);
    cr_expect_eq(query->minimumSnapshot, 7);
    cr_expect_eq(query->urgencyClass, "urgent");
    cr_expect_eq(query->service.value(), "catalogue");
    const auto action = read(makeRequest("POST", "/v1/services/slicing/actions/enqueue", {}, "key"));
    cr_assert(std::holds_alternative<Entry::ActionCall>(action));
}

Test(CallerInterface, malformedRequestsAreRejectedAsNotRun)
{
    const Http::Request table[] = {
        makeRequest("GET", "/"),
        makeRequest("GET", "/v1/services"),
        makeRequest("GET", "/v1/services/x/search"),
        makeRequest("POST", "/v1/services/x/search", {{"q", "words"}}),
        makeRequest("GET", "/v1/services/x/search", {{"q", "words"}, {"limit", "0"}}),
        makeRequest("GET", "/v1/services/x/search", {{"q", "words"}, {"limit", "many"}}),
        makeRequest("GET", "/v1/services/x/search", {{"q", "words"}, {"minimum_snapshot", "-1"}}),
        makeRequest("GET", "/v1/services/x/search", {{"q", std::string(5000, 'x')}}),
        makeRequest("GET", "/v1/services/x/search", {{"q", "\xff\xfe"}}),
        makeRequest("GET", "/v1/services/x/records/" + std::string(600, 'x')),
        makeRequest("GET", "/v1/services/x/records"),
        makeRequest("GET", "/v1/services/x/actions/enqueue", {}, "key"),
        makeRequest("POST", "/v1/services/x/actions/enqueue"),
        makeRequest("POST", "/v1/services/x/actions/enqueue/more", {}, "key"),
    };
    for (const auto &request : table) {
        const auto outcome = read(request);
        const auto *problem = std::get_if<Entry::Problem>(&outcome);
        cr_assert_not_null(problem, "%s %s", request.method.c_str(), request.path.c_str());
        cr_expect_eq(static_cast<int>(problem->run), static_cast<int>(Entry::RunState::NotRun));
        cr_expect_eq(Entry::problemStatus(problem->type), 400);
    }
}

Test(BackendInterface, onlyTheReplyToTheSameAttemptIsAccepted)
{
    Entry::BackendRequest request;
    request.service = Core::ServiceName("catalogue");
    Entry::AttemptRequest attempt;
    attempt.attempt = Core::AttemptId("attempt");
    attempt.shard = Core::ShardIndex(3);
    attempt.snapshot = {.version = 5, .shardMap = "map"};
    attempt.request = std::make_shared<const Entry::BackendRequest>(request);
    const nlohmann::json good = {{"attempt", "attempt"}, {"service", "catalogue"}, {"shard", 3}, {"snapshot", {{"version", 5}, {"shard_map", "map"}}}};
    cr_expect(Entry::checkReply(good, attempt).has_value());
    const std::pair<const char *, nlohmann::json> table[] = {
        {"attempt", "other"},
        {"service", "ledger"},
        {"shard", 4},
        {"shard", "3"},
        {"shard", 3.0e40},
        {"snapshot", {{"version", 6}, {"shard_map", "map"}}},
        {"snapshot", {{"version", 5}, {"shard_map", "other"}}},
        {"snapshot", 5},
    };
    for (const auto &[member, value] : table) {
        auto wrong = good;
        wrong[member] = value;
        cr_expect(!Entry::checkReply(wrong, attempt).has_value(), "%s = %s", member, value.dump().c_str());
        wrong.erase(member);
        cr_expect(!Entry::checkReply(wrong, attempt).has_value(), "without %s", member);
    }
}

Test(Problem, problemDocumentHasTypeAndRunState)
{
    const Entry::Problem problem{
        .type = Entry::ProblemType::Overloaded, .run = Entry::RunState::NotRun, .detail = "detail", .retryAfter = std::chrono::seconds(2)};
    const auto answer = Entry::problemAnswer(problem, Core::RequestId("request"));
    const auto document = Core::parseObject(answer.body).value();
    cr_expect_eq(answer.status, 503);
    cr_expect_eq(document["type"], "urn:crankrudder:problem:overloaded");
    cr_expect_eq(document["run"], "not-run");
    const auto response = Entry::makeResponse(answer, Core::RequestId("request"));
    bool hasRetryAfter = false;
    for (const auto &header : response.headers) {
        hasRetryAfter = hasRetryAfter || (header.name == "Retry-After" && header.value == "2");
    }
    cr_expect(hasRetryAfter);
}
