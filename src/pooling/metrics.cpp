#include "pooling/metrics.hpp"

namespace pipitpond::pooling {

StatementTimes::StatementTimes() {
  for (const char* kind : {"primary", "bounded", "session"}) {
    for (const char* outcome : {"failed", "succeeded"}) {
      histograms_.push_back(
          registry_.histogram("pipitpond_pooling_statement_seconds",
                              "Time of first statements of callers, the wait for a database included.",
                              metrics::request_seconds(), {{"kind", kind}, {"outcome", outcome}}));
    }
  }
}

void StatementTimes::observe(protocol::RouteKind kind, bool succeeded, core::Duration elapsed) {
  const auto kind_index = static_cast<std::size_t>(kind);
  if (kind_index < kKinds) {
    histograms_.at(2 * kind_index + (succeeded ? 1 : 0))
        .observe(std::chrono::duration<double>(elapsed).count());
  }
}

}  // namespace pipitpond::pooling
