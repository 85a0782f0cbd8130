/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Numbers for a monitoring system, in the Prometheus text format.
// docs/OPERATIONS.md says what each means and when to be woken.

#pragma once

#include <LibMetrics/LatencyHistogram.h>

#include <cstdint>
#include <map>
#include <memory>
#include <prometheus/metric_family.h>
#include <string>
#include <vector>

namespace Metrics
{

/** Collects families and writes them with the prometheus-cpp serializer. */
class MetricsPage
{
public:
    using Labels = std::map<std::string, std::string>;

    void counter(const std::string &name, const std::string &help, double value, const Labels &labels = {});
    void gauge(const std::string &name, const std::string &help, double value, const Labels &labels = {});

    void histogram(const std::string &name, const std::string &help, const LatencyHistogram &histogram, const Labels &labels = {});

    [[nodiscard]] std::string text() const;

private:
    [[nodiscard]] prometheus::ClientMetric &metricOf(const std::string &name, const std::string &help, prometheus::MetricType type, const Labels &labels);
    void add(const std::string &name, const std::string &help, prometheus::MetricType type, const Labels &labels, double value);

    std::vector<prometheus::MetricFamily> families;
};

}
