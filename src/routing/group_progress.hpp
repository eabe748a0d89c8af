// How a group's log grows over time, as one daemon has seen it: turns log positions into ages, without
// comparing the clocks of two machines.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"

namespace pipitpond::routing {

/// Samples kept of the log's head; older ones are thinned.
inline constexpr std::size_t kMaxHeadSamples = 512;
/// Two samples closer in time than this are merged.
inline constexpr core::Duration kHeadSampleSpacing = std::chrono::milliseconds(20);

/// Lags above this are not learnt from a database that has caught up: the group was idle meanwhile.
inline constexpr core::Duration kMaxLearntLag = std::chrono::seconds(10);

/// Remembers when the head of the group's log was where.
class GroupProgress {
 public:
  /// Notes that everything committed up to `asked_at` is at or below `head`. `asked_at` is when a status
  /// request was SENT whose answer said committed = head, or when a write was sent that was then given the
  /// position head: in both cases no entry that was committed before `asked_at` lies above `head`. Only
  /// answers of the primary of the latest known term count.
  void observe_head(core::Instant asked_at, const core::LogPosition& head);

  /// Notes a database's applied position, to learn its usual lag.
  void observe_applied(const core::DatabaseId& database, const core::LogPosition& applied, core::Instant now);

  /// Upper bound of the age of the data of a database that has applied `applied`; empty when the samples do
  /// not reach that far back.
  [[nodiscard]] std::optional<core::Duration> staleness(const core::LogPosition& applied,
                                                        core::Instant now) const;

  /// How long it will probably take a database to apply `wanted`; zero when it should have by now, empty when
  /// its lag is unknown.
  [[nodiscard]] std::optional<core::Duration> expected_wait(const core::DatabaseId& database,
                                                            const core::LogPosition& wanted,
                                                            core::Instant now) const;

  /// Moving average of a database's lag; empty when unknown.
  [[nodiscard]] std::optional<core::Duration> usual_lag(const core::DatabaseId& database) const;

 private:
  /// The head was `head` at each request from first_asked to last_asked.
  struct HeadSample {
    core::Instant first_asked;
    core::Instant last_asked;
    core::LogPosition head;
  };
  using Samples = std::deque<HeadSample>;

  void thin();
  [[nodiscard]] Samples::const_iterator first_above(const core::LogPosition& applied) const;

  Samples samples_;  // Ordered by time; heads grow.
  std::map<core::DatabaseId, core::Duration> lags_;
};

}  // namespace pipitpond::routing
