// What became of a daemon's fetches of the configuration: counters for the metrics, and log lines that tell
// on-call why a daemon has no configuration yet.
#pragma once

#include <cstdint>
#include <string>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "logging/logging.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::agent {

/// Since the daemon's start.
struct FetchCounters {
  std::uint64_t begun = 0;      ///< Calls to control replicas.
  std::uint64_t failed = 0;     ///< Calls that brought nothing in time.
  std::uint64_t completed = 0;  ///< Answers that came whole.
  std::uint64_t bytes = 0;      ///< Of the answers that came whole, as they were on the wire.
};

/// Counts and logs fetches. Bounded: of failures in a row the first and each power of two has a line.
class FetchLog {
 public:
  explicit FetchLog(logging::Logger log) : log_(std::move(log)) {}

  void on_begun(core::Instant now);
  void on_failed(const core::Endpoint& from, core::Duration took, const std::string& reason);
  void on_completed(const core::Endpoint& from, core::Duration took, std::size_t bytes);
  /// Call often; tells once a second what is known while there is no configuration. `received` is what came
  /// from control in all, in bytes.
  void tick(core::Instant now, protocol::Revision revision, std::uint64_t received);

  [[nodiscard]] const FetchCounters& counters() const { return counters_; }

 private:
  logging::Logger log_;
  FetchCounters counters_;
  std::uint64_t failed_in_a_row_ = 0;
  core::Instant first_begun_;  ///< Of this life; zero before.
  core::Instant next_line_;
};

/// Between two lines of a daemon that has no configuration.
inline constexpr core::Duration kWithoutConfigurationLine = std::chrono::seconds(1);

}  // namespace pipitpond::agent
