/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Metrics for a monitoring system, in the Prometheus text format.
// docs/OPERATIONS.md says what each metric means and when to alert an operator.

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

/** Collects metrics and serializes them with prometheus-cpp. Metrics of the same name form one family, whose help text and type are those of the first. */
class MetricsPage
{
public:
    using Labels = std::map<std::string, std::string>;

    void counter(const std::string &name, const std::string &help, double value, const Labels &labels = {});
    void gauge(const std::string &name, const std::string &help, double value, const Labels &labels = {});

    void histogram(const std::string &name, const std::string &help, const LatencyHistogram &histogram, const Labels &labels = {});

    /** Returns the page in the Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    [[nodiscard]] prometheus::ClientMetric &addMetric(const std::string &name, const std::string &help, prometheus::MetricType type, const Labels &labels);
    void add(const std::string &name, const std::string &help, prometheus::MetricType type, const Labels &labels, double value);

    std::vector<prometheus::MetricFamily> families;
};

}
