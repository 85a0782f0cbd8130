/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibGateway/Quota/QuotaAdmission.h>

#include <utility>

namespace Gateway
{

QuotaAdmission::QuotaAdmission(QuotaLimiter &quotas) : quotas(quotas)
{
}

void QuotaAdmission::add(const Fleet::Workspace &workspace, WaitingRequest added)
{
    const auto number = this->nextNumber++;
    added.exchange->aborted = [this, number](Wire::ConnectionEnd) {
        this->handleCallerGone(number);
    };
    const auto terms = added.terms;
    const auto requestId = added.request.id;
    this->waiting[number] = std::move(added);
    const auto decisionNumber = this->quotas.decide(workspace, terms, requestId, [this, number](const QuotaDecision &decision) {
        this->handleDecision(number, decision);
    });
    // NOTE: decide() may have called the hook already, which removes the request.
    if (const auto row = this->waiting.find(number); row != this->waiting.end()) {
        row->second.decisionNumber = decisionNumber;
    }
}

std::vector<WaitingRequest> QuotaAdmission::takeAll()
{
    std::vector<WaitingRequest> all;
    for (auto &[number, row] : std::exchange(this->waiting, {})) {
        this->quotas.cancel(row.decisionNumber);
        all.push_back(std::move(row));
    }
    return all;
}

std::size_t QuotaAdmission::size() const
{
    return this->waiting.size();
}

void QuotaAdmission::forEach(const std::function<void(const WaitingRequest &waiting)> &visit) const
{
    for (const auto &[number, row] : this->waiting) {
        visit(row);
    }
}

void QuotaAdmission::handleDecision(std::uint64_t number, const QuotaDecision &decision)
{
    auto row = this->waiting.extract(number);
    if (!row.empty()) {
        this->decided(std::move(row.mapped()), decision);
    }
}

void QuotaAdmission::handleCallerGone(std::uint64_t number)
{
    const auto row = this->waiting.extract(number);
    if (!row.empty()) {
        this->quotas.cancel(row.mapped().decisionNumber);
        this->callerGone();
    }
}

}
