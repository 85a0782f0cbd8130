/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibHttp/Message.h>

#include <glib.h>

namespace Http
{

std::string Request::parameter(const std::string &name) const
{
    const auto found = this->query.find(name);
    return found == this->query.end() ? std::string() : found->second;
}

std::string escape(const std::string &text)
{
    char *escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
    std::string result(escaped);
    g_free(escaped);
    return result;
}

std::vector<std::string> splitPath(const std::string &path)
{
    std::vector<std::string> segments;
    std::size_t start = 0;
    while (start < path.size()) {
        const std::size_t end = std::min(path.find('/', start), path.size());
        if (end > start) {
            segments.push_back(path.substr(start, end - start));
        }
        start = end + 1;
    }
    return segments;
}

}
