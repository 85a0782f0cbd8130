/*
 * SPDX-FileCopyrightText: 2026 the crankrudder developers
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibEntry/BackendTransport.h>

namespace Entry
{

const char *refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::None:
        return "none";
    case RefusalReason::Draining:
        return "draining";
    case RefusalReason::Shedding:
        return "shedding";
    case RefusalReason::SnapshotGone:
        return "snapshot-gone";
    case RefusalReason::DeadlineTooShort:
        return "deadline-too-short";
    case RefusalReason::Other:
        return "other";
    }
    return "other";
}

}
