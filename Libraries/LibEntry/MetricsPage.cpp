/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/MetricsPage.h>

#include <algorithm>
#include <prometheus/text_serializer.h>

namespace Entry
{

void MetricsPage::add(const std::string &name, const std::string &help, prometheus::MetricType type, const Labels &labels, double value)
{
    auto family = std::find_if(this->families.begin(), this->families.end(), [&name](const prometheus::MetricFamily &candidate) {
        return candidate.name == name;
    });
    if (family == this->families.end()) {
        this->families.push_back(prometheus::MetricFamily{name, help, type, {}});
        family = this->families.end() - 1;
    }
    prometheus::ClientMetric metric;
    for (const auto &[labelName, labelValue] : labels) {
        metric.label.push_back({labelName, labelValue});
    }
    metric.counter.value = value;
    metric.gauge.value = value;
    family->metric.push_back(std::move(metric));
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
