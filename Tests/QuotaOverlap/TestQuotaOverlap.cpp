/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

// Guards against a gateway that joins and grants from a share while the former keeper, which
// is cut off from the coordinators, still grants from it for up to 7 s. After some idle
// seconds, with full buckets, both together would exceed the quota.

#include <Support/QuotaModel.h>

using TestSupport::at;
using TestSupport::QuotaModel;
using TestSupport::testQuotas;

namespace
{

// Six seconds without requests fill the buckets, then six seconds of many times the quota follow.
constexpr std::int64_t PhaseMs = 6000;

}

Test(QuotaOverlap, noWindowExceedsTheQuotaWhenCutOffKeepersAreReplaced)
{
    for (unsigned seed = 1; seed <= 400; ++seed) {
        const auto &quota = testQuotas[seed % testQuotas.size()];
        QuotaModel model(seed, 6, quota);
        const auto offeredInStep = static_cast<int>(std::max(1.0, 0.08 * quota.requestsPerSecond));
        while (model.now < at(Core::seconds(60))) {
            model.advance();
            if (model.random() % 100 == 0) {
                auto &row = model.rows[model.random() % model.rows.size()];
                (model.random() % 2 == 0 ? row.frozenUntil : row.disconnectedUntil) = model.now + model.upTo(25'000);
            }
            if (model.random() % 2000 == 0) {
                for (std::size_t number = 0; number < model.rows.size(); number += 2) {
                    model.rows[number].disconnectedUntil = model.now + model.upTo(20'000);
                }
            }
            const bool isIdle = Core::toMilliseconds(model.now.sinceStart()) / PhaseMs % 2 == 0;
            for (int request = 0; !isIdle && request < offeredInStep; ++request) {
                (void)model.requestAtRandomGateway();
            }
            const auto sent = static_cast<double>(model.grantedInWindow());
            cr_assert(sent <= model.allowed(),
                "seed %u: %.0f of %.0f at %ld ms",
                seed,
                sent,
                model.allowed(),
                static_cast<long>(Core::toMilliseconds(model.now.sinceStart())));
        }
    }
}
