/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Tests of the selection of routes by host and path prefix.

#include <LibFleet/Declaration.h>

#include <criterion/criterion.h>

Test(RouteTable, selectsTheRouteWithTheLongestPrefix)
{
    auto declaration = std::make_shared<Fleet::Declaration>();
    const auto add = [&declaration](const char *name, const char *host, const char *prefix) {
        declaration->routes.push_back({});
        declaration->routes.back().name = name;
        declaration->routes.back().host = host;
        declaration->routes.back().pathPrefix = prefix;
    };
    add("short", "a.example", "/x/");
    add("long", "a.example", "/x/y/");
    add("root", "b.example", "/");
    const Fleet::RouteTable table(declaration);
    struct Case {
        const char *host;
        const char *target;
        const char *route;
    };
    const std::vector<Case> cases{
        {"a.example", "/x/1", "short"},
        {"a.example", "/x/y/1", "long"},
        {"a.example", "/x/y/", "long"},
        {"a.example", "/x/y", "short"},
        {"a.example", "/x/yy/z", "short"},
        {"a.example", "/x/1?to=/x/y/", "short"},
        {"A.Example:80", "/x/1", "short"},
        {"a.example", "/xx/1", nullptr},
        {"a.example", "/x", nullptr},
        {"a.example", "", nullptr},
        {"b.example", "/any/where", "root"},
        {"c.example", "/x/1", nullptr},
    };
    for (const auto &item : cases) {
        const auto *route = table.match(item.host, item.target);
        cr_assert((route == nullptr) == (item.route == nullptr), "%s%s", item.host, item.target);
        cr_assert(route == nullptr || route->name == item.route, "%s%s", item.host, item.target);
    }
}
