// An open loop of statements: arrivals by seeded exponential gaps, whatever becomes of those sent before, so
// that overload shows as it does with many callers who do not know of each other.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/ids.hpp"

namespace pipitpond::workload {

/// Statements of one tenant.
struct OpenStream {
  core::TenantName tenant;
  double per_second = 1.0;   ///< Mean rate of arrivals.
  double write_share = 0.0;  ///< Part of the statements that are writes, each with a fresh key; 0 to 1.
};

/// A load with an end.
struct OpenLoadPlan {
  std::vector<core::Endpoint> proxies;  ///< Used in turn.
  core::GroupName group;
  std::vector<OpenStream> streams;
  core::Duration duration = std::chrono::seconds(1);  ///< Of arrivals; answers may come later.
  std::uint32_t deadline_ms = 500;                    ///< Named in each request.
  std::uint64_t max_requests = 100'000;               ///< Of each stream: the load ends there at the latest.
  std::uint64_t seed = 1;
  std::string key_prefix = "open";  ///< Distinct for each load on one fleet.
};

/// What came of one statement.
struct OpenSample {
  core::Duration sent_at;  ///< Since the start of the load.
  core::Duration late_by;  ///< How much later than planned the generator sent it.
  core::Duration took;     ///< From sending until the whole answer was there.
  std::size_t stream = 0;
  bool is_write = false;
  unsigned status = 0;         ///< HTTP status; 0 when no answer came within the deadline and a few seconds.
  std::string outcome;         ///< "done", "not_run", "unknown"; empty without an answer.
  std::string error_kind;      ///< Empty when done.
  std::uint32_t attempts = 0;  ///< At databases, as the proxy says.
  std::uint32_t retry_after_ms = 0;
  bool has_retry_after = false;  ///< The header is there.
};

/// Starts the load on `io`. Samples are added as answers come; the load has ended when `io` has nothing left
/// of it. `samples` must outlive that. A statement's connection is used by one statement at a time and kept.
void start_open_load(boost::asio::io_context& io, const OpenLoadPlan& plan, std::vector<OpenSample>& samples);

}  // namespace pipitpond::workload
