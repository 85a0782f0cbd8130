/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Guards against gateways that stall at each change of a large declaration: hundreds
// of routes over hundreds of shards that change twice a second. With an eighth of a
// core, parsing the whole document blocked a gateway for a tenth of a second at each
// change, so unchanged routes are reused. The result must be the same as that of
// parsing the whole document.

#include <platform/ConfigurationCodec.h>
#include <platform/TopLevelList.h>

#include <LibCore/Json.h>

#include <criterion/criterion.h>
#include <random>

namespace
{

nlohmann::json documentOf(int routes, int shards)
{
    nlohmann::json document{{"version", 1}, {"routes", nlohmann::json::array()}, {"services", nlohmann::json::array()}};
    nlohmann::json names = nlohmann::json::array();
    for (int shard = 0; shard < shards; ++shard) {
        names.push_back("shard-" + std::to_string(shard));
        document["services"].push_back({{"name", names.back()}, {"max_conns", 20 + shard}});
    }
    for (int route = 0; route < routes; ++route) {
        const auto number = std::to_string(route);
        document["routes"].push_back({{"name", "r-" + number},
            {"host", "h.example"},
            {"path_prefix", "/" + number + "/"},
            {"timeout_ms", 500 + route},
            {"gather", names},
            {"top_k", 5}});
    }
    return document;
}

/** Returns the contents of a declaration as text, or the error. */
std::string describe(const Core::Result<std::shared_ptr<const Fleet::Declaration>> &read)
{
    if (!read.has_value()) {
        return "error: " + read.error().message;
    }
    std::string text = std::to_string(read.value()->version.value());
    for (const auto &route : read.value()->routes) {
        text += "\n" + route.name + " " + route.host + route.pathPrefix + " " + std::to_string(route.timeout.count()) + " " + std::to_string(route.topRecords);
        for (const auto &shard : route.shards) {
            text += "," + shard.value();
        }
    }
    for (const auto &[name, service] : read.value()->services) {
        text += "\n" + name.value() + " " + std::to_string(service.connectionCap);
    }
    return text + "\n" + std::to_string(read.value()->limits.bodyBytes);
}

void change(nlohmann::json &document, std::mt19937 &random)
{
    auto &routes = document["routes"];
    const auto any = routes.empty() ? 0 : random() % routes.size();
    switch (random() % 9) {
    case 0:
        routes[any]["timeout_ms"] = 1 + random() % 5000;
        break;
    case 1:
        routes.push_back(routes[any]);
        routes.back()["path_prefix"] = "/new-" + std::to_string(random()) + "/";
        break;
    case 2:
        routes.erase(any);
        break;
    case 3:
        std::swap(routes.front(), routes[any]);
        break;
    case 4:
        document["services"].push_back({{"name", "added-" + std::to_string(random())}});
        break;
    case 5:
        // The document becomes invalid when a route still names this service.
        document["services"].erase(random() % document["services"].size());
        break;
    case 6:
        routes[any]["path_prefix"] = routes.front()["path_prefix"];
        break;
    case 7:
        routes[any]["timeout_ms"] = 0;
        break;
    default:
        document["limits"] = {{"max_body_bytes", random() % 1000}};
        break;
    }
}

}

Test(ConfigurationReader, givesTheSameResultAsParsingEachDocumentWhole)
{
    std::mt19937 random(11);
    std::size_t reused = 0;
    for (int series = 0; series < 30; ++series) {
        Platform::ConfigurationReader reader;
        auto good = documentOf(12, 6);
        for (int step = 0; step < 40; ++step) {
            auto document = good;
            document["version"] = step;
            change(document, random);
            auto text = random() % 4 == 0 ? document.dump(2) : document.dump();
            if (random() % 6 == 0) {
                text[random() % text.size()] = static_cast<char>(random());
            } else if (random() % 6 == 0) {
                text.resize(random() % text.size());
            }
            const auto whole = Platform::readConfiguration(text);
            const auto read = reader.read(text);
            cr_assert(describe(read) == describe(whole), "series %d, step %d\n%s\n%s", series, step, describe(read).c_str(), describe(whole).c_str());
            reused += reader.reusedRoutes();
            good = whole.has_value() && !document["routes"].empty() ? document : good;
        }
    }
    cr_assert(reused > 1000, "%zu", reused);
}

Test(ConfigurationReader, reusesAllUnchangedRoutes)
{
    Platform::ConfigurationReader reader;
    auto document = documentOf(250, 180);
    cr_assert(reader.read(document.dump()).has_value());
    document["version"] = 2;
    document["routes"][17]["timeout_ms"] = 77;
    document["routes"].push_back(document["routes"][3]);
    document["routes"].back()["path_prefix"] = "/added/";
    const auto read = reader.read(document.dump());
    cr_assert(read.has_value() && read.value()->routes.size() == 251 && read.value()->routes[17].timeout == Core::milliseconds(77));
    cr_assert_eq(reader.reusedRoutes(), 249);
}

Test(TopLevelList, findsItemsAndRejectsMalformedDocuments)
{
    const std::string text = R"( {"a": {"routes": [1]}, "routes" : [ {"x": "]\"}"} , [1, 2],3 ] , "b": "[,]"} )";
    const auto found = Platform::findTopLevelList(text, "routes");
    cr_assert(found.has_value() && found->items.size() == 3);
    cr_assert(found->items[0] == R"({"x": "]\"}"})" && found->items[1] == "[1, 2]" && found->items[2] == "3");
    cr_assert_eq(text.substr(found->begin, found->end - found->begin).front(), '[');
    cr_assert_eq(text[found->end - 1], ']');
    cr_assert(Platform::findTopLevelList(R"({"routes":[]})", "routes")->items.empty());
    for (const char *bad : {"",
             "[]",
             "{}",
             R"({"routes":{}})",
             R"({"routes":[1,]})",
             R"({"routes":[,1]})",
             R"({"routes":[1)",
             R"({"routes":[1]} x)",
             R"({"routes":[1],"routes":[2]})",
             R"({"routes":[1],"r\u006futes":[2]})",
             R"({"routes":[1],})",
             R"({"routes" [1]})"}) {
        cr_assert_not(Platform::findTopLevelList(bad, "routes").has_value(), "%s", bad);
    }
}
