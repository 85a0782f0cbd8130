/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibFleet/Declaration.h>

#include <algorithm>
#include <cctype>

namespace Fleet
{

static std::string lowerCase(std::string_view text)
{
    std::string lowered(text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return lowered;
}

const Workspace *Declaration::workspaceNamed(const WorkspaceName &name) const
{
    return this->workspaces.has_value() ? this->workspaces->find(name) : nullptr;
}

RouteTable::RouteTable(std::shared_ptr<const Declaration> declaration) : source(std::move(declaration))
{
    for (const auto &route : this->source->routes) {
        this->hosts[lowerCase(route.host)][route.pathPrefix] = &route;
    }
}

const Route *RouteTable::match(std::string_view host, std::string_view target) const
{
    const auto found = this->hosts.find(lowerCase(host.substr(0, host.find(':'))));
    if (found == this->hosts.end()) {
        return nullptr;
    }
    std::string_view path = target.substr(0, target.find_first_of("?#"));
    while (!path.empty()) {
        const auto slash = path.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        const auto route = found->second.find(std::string(path.substr(0, slash + 1)));
        if (route != found->second.end()) {
            return route->second;
        }
        path = path.substr(0, slash);
    }
    return nullptr;
}

const Declaration &RouteTable::declaration() const
{
    return *this->source;
}

}
