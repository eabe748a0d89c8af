#include "pooling/opening_choice.hpp"

#include <cstdint>

namespace pipitpond::pooling {
namespace {

/// Openings that one opening counts as: the statement waits for it to end, and other statements wait for the
/// slot that it takes.
constexpr int kOpeningWeight = 2;
/// Twice that where another tenant's connection is closed, which has to be opened again later.
constexpr int kReplacingWeight = 2 * kOpeningWeight;
/// A statement is overdue after this multiple of the average time: the same factor as for congestion in
/// ConcurrencyLimit.
constexpr int kOverdueFactor = 3;

}  // namespace

core::Duration expected_wait_for_free_connection(const OpeningInputs& inputs) {
  const std::size_t connections = inputs.soon_free + inputs.opening;
  if (connections == 0) {
    return core::Duration::max();
  }
  const auto ahead = static_cast<std::int64_t>(inputs.waiting_before) + 1;
  const core::Duration uses = inputs.average_statement_time * ahead / static_cast<std::int64_t>(connections);
  const core::Duration until_first =
      inputs.soon_free == 0 ? inputs.average_opening_time : core::Duration::zero();
  return until_first + uses;
}

bool should_open(const OpeningInputs& inputs) {
  const int weight = inputs.replaces_another ? kReplacingWeight : kOpeningWeight;
  return expected_wait_for_free_connection(inputs) > inputs.average_opening_time * weight;
}

bool is_overdue(core::Instant now, core::Instant since, core::Duration average_statement_time) {
  return now - since > average_statement_time * kOverdueFactor;
}

}  // namespace pipitpond::pooling
