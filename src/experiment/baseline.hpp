// Policies of the baselines that the product is compared with.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>

#include "core/ids.hpp"
#include "experiment/operator_loop.hpp"

namespace pipitpond::experiment {

/// Makes the group send reads of the tenant workload::kPrimaryTenant to the primary and all others to a
/// replica. The callers choose the tenant: always (primary-only), or for a fixed time after a write. Returns
/// false when control did not accept it.
boost::asio::awaitable<bool> apply_baseline_policy(OperatorLoop& operators, core::GroupName group);

}  // namespace pipitpond::experiment
