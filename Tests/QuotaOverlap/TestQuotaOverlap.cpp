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
            model.freezeOrDisconnectAtRandom();
            model.disconnectHalfAtRandom();
            const bool isIdle = Core::toMilliseconds(model.now.sinceStart()) / PhaseMs % 2 == 0;
            for (int request = 0; !isIdle && request < offeredInStep; ++request) {
                (void)model.requestAtRandomGateway();
            }
            model.verifyWindow(seed);
        }
    }
}
