/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibMetrics/MetricsPage.h>

#include <algorithm>
#include <limits>
#include <prometheus/text_serializer.h>

namespace Metrics
{

prometheus::ClientMetric &MetricsPage::addMetric(const std::string &name, const std::string &help, prometheus::MetricType type, const Labels &labels)
{
    auto family = std::find_if(this->families.begin(), this->families.end(), [&name](const prometheus::MetricFamily &candidate) {
        return candidate.name == name;
    });
    if (family == this->families.end()) {
        this->families.push_back(prometheus::MetricFamily{name, help, type, {}});
        family = this->families.end() - 1;
    }
    family->metric.emplace_back();
    for (const auto &[labelName, labelValue] : labels) {
        family->metric.back().label.push_back({labelName, labelValue});
    }
    return family->metric.back();
}

void MetricsPage::add(const std::string &name, const std::string &help, prometheus::MetricType type, const Labels &labels, double value)
{
    auto &metric = this->addMetric(name, help, type, labels);
    metric.counter.value = value;
    metric.gauge.value = value;
}

void MetricsPage::histogram(const std::string &name, const std::string &help, const LatencyHistogram &histogram, const Labels &labels)
{
    auto &metric = this->addMetric(name, help, prometheus::MetricType::Histogram, labels).histogram;
    std::uint64_t cumulative = 0;
    for (std::size_t index = 0; index < histogram.counts().size(); ++index) {
        cumulative += histogram.counts()[index];
        const bool last = index == LatencyHistogram::UpperBounds.size();
        prometheus::ClientMetric::Bucket bucket;
        bucket.cumulative_count = cumulative;
        bucket.upper_bound = last ? std::numeric_limits<double>::infinity() : LatencyHistogram::UpperBounds[index] / 1000.0;
        metric.bucket.push_back(bucket);
    }
    metric.sample_count = cumulative;
    metric.sample_sum = histogram.sumSeconds();
}

void MetricsPage::counter(const std::string &name, const std::string &help, double value, const Labels &labels)
{
    this->add(name, help, prometheus::MetricType::Counter, labels, value);
}

void MetricsPage::gauge(const std::string &name, const std::string &help, double value, const Labels &labels)
{
    this->add(name, help, prometheus::MetricType::Gauge, labels, value);
}

std::string MetricsPage::text() const
{
    return prometheus::TextSerializer().Serialize(this->families);
}

}
