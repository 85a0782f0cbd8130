#include <LibCore/Identity.h>
#include <LibCore/Json.h>
#include <LibCore/Log.h>
#include <LibCore/Settings.h>
#include <Support/ManualTime.h>

#include <criterion/criterion.h>
#include <set>

using TestSupport::ManualTime;

Test(TimerService, callsHooksInOrderOfDueTimesAndLetsThemCancelOthers)
{
    ManualTime time;
    std::string calls;
    Core::TimerSubscription second;
    const auto late = time.timers().once(Core::milliseconds(20), [&calls](Core::Instant) {
        calls += "c";
    });
    const auto first = time.timers().once(Core::milliseconds(5), [&calls, &second](Core::Instant) {
        calls += "a";
        second.cancel();
    });
    second = time.timers().once(Core::milliseconds(10), [&calls](Core::Instant) {
        calls += "b";
    });
    time.advance(Core::milliseconds(50));
    cr_expect_eq(calls, "ac");
}

Test(TimerService, callsAPeriodicHookOncePerPeriod)
{
    ManualTime time;
    int calls = 0;
    const auto subscription = time.timers().every(Core::milliseconds(10), [&calls](Core::Instant) {
        ++calls;
    });
    time.advance(Core::milliseconds(100));
    cr_expect_eq(calls, 10);
}

// Guards against needless wake-ups: each distinct due time wakes up an otherwise idle process.
Test(TimerService, callsSubscribersWithTheSamePeriodTogether)
{
    ManualTime time;
    std::set<Core::Instant> callTimes;
    std::vector<Core::TimerSubscription> subscriptions;
    for (const int period : {50, 250, 50, 250, 1000}) {
        time.advance(Core::milliseconds(7));
        subscriptions.push_back(time.timers().every(Core::milliseconds(period), [&callTimes](Core::Instant now) {
            callTimes.insert(now);
        }));
    }
    time.advance(Core::milliseconds(65));
    callTimes.clear();
    time.advance(Core::seconds(1));
    cr_expect_eq(callTimes.size(), 20, "%zu", callTimes.size());
}

Test(Identity, extractsTheTimeOfUuidsAndRejectsOtherTexts)
{
    const Core::WallTime now(1'790'000'000'123);
    const std::string key = Core::makeUuidVersion7(now);
    cr_expect_eq(Core::timeOfUuidVersion7(key).value().count(), now.count());
    for (const char *invalid : {"",
             "x",
             "01a23739-9f78-455d-916a-d17b886f4c9e",
             "01a23739-9f78-755d-016a-d17b886f4c9e",
             "01a237399f78755d916ad17b886f4c9e0000",
             "01a23739-9f78-755d-916a-d17b886f4c9"}) {
        cr_expect(!Core::timeOfUuidVersion7(invalid).has_value(), "%s", invalid);
    }
    cr_expect_neq(Core::randomToken(), Core::randomToken());
}

Test(Identity, distributesKeysOverAllShards)
{
    int counts[8] = {};
    for (int number = 0; number < 800; ++number) {
        ++counts[Core::shardOfKey("key-" + std::to_string(number), 8)];
    }
    for (const int count : counts) {
        cr_expect_geq(count, 60);
    }
}

Test(Json, rejectsInvalidDocumentsAndMembers)
{
    for (const char *invalid : {"", "{", "[]", "nonsense", "{\"a\":}", "\"text\""}) {
        cr_expect(!Core::parseObject(invalid).has_value(), "%s", invalid);
    }
    cr_expect(!Core::parseObject(std::string(100'000, '[')).has_value(), "deep nesting must not exhaust the stack");
    const auto object = Core::parseObject(R"({"n": 18446744073709551615, "s": "text", "deep \" [": 1})").value();
    cr_expect(!Core::integerMember(object, "n", 0, 10).has_value());
    cr_expect(!Core::integerMember(object, "s", 0, 10).has_value());
    cr_expect(!Core::textMember(object, "s", 2).has_value());
    cr_expect_eq(Core::textMember(object, "s").value(), "text");
}

Test(Log, writesEachEventOnOneLine)
{
    const std::string line = Core::formatEvent("some.event", {{"plain", "value"}, {"spaced", "a b"}, {"hostile", "x\ny=\"z\""}, {"empty", ""}, {"number", 5}});
    cr_expect_eq(line, "event=some.event plain=value spaced=\"a b\" hostile=\"x\\x0ay=\\\"z\\\"\" empty=\"\" number=5");
}

static Core::Result<std::vector<std::string>> parse(Core::Settings &settings, std::vector<std::string> arguments)
{
    std::vector<char *> pointers;
    for (auto &argument : arguments) {
        pointers.push_back(argument.data());
    }
    pointers.push_back(nullptr);
    return settings.parse(static_cast<int>(arguments.size()), pointers.data());
}

Test(Settings, prefersFlagsToTheEnvironmentAndTheEnvironmentToDefaults)
{
    std::int64_t number = 0;
    Core::Settings settings("program", "purpose");
    settings.addInteger({.name = "some-number", .valueName = "N", .help = "Help.", .defaultValue = "1"}, number, 0, 10);
    cr_assert(parse(settings, {"program"}).has_value());
    cr_expect_eq(number, 1);
    setenv("CRANKRUDDER_SOME_NUMBER", "2", 1);
    cr_assert(parse(settings, {"program"}).has_value());
    cr_expect_eq(number, 2);
    const auto rest = parse(settings, {"program", "--some-number", "3", "verb"});
    cr_assert(rest.has_value());
    cr_expect_eq(number, 3);
    cr_expect_eq(rest->size(), 1U);
}

Test(Settings, namesTheFlagInEveryError)
{
    std::int64_t number = 0;
    Core::Endpoint endpoint;
    Core::Settings settings("program", "purpose");
    settings.addInteger({.name = "some-number", .valueName = "N", .help = "Help.", .defaultValue = "1"}, number, 0, 10);
    settings.addEndpoint({.name = "listen", .valueName = "IP:PORT", .help = "Help.", .required = true}, endpoint);
    const std::vector<std::vector<std::string>> table{
        {"program", "--some-number", "11", "--listen", "127.0.0.1:1"},
        {"program", "--some-number", "x", "--listen", "127.0.0.1:1"},
        {"program", "--listen", "localhost:80"},
        {"program", "--listen", "127.0.0.1:0"},
        {"program", "--listen", "127.0.0.1"},
        {"program", "--unknown", "1"},
        {"program"},
    };
    for (const auto &arguments : table) {
        const auto outcome = parse(settings, arguments);
        cr_assert(!outcome.has_value());
        cr_expect_neq(outcome.error().message.find("--"), std::string::npos, "%s", outcome.error().message.c_str());
    }
    cr_expect_eq(Core::Endpoint::parse("[::1]:80").value().toString(), "[::1]:80");
}
