#include "agent/fetch_log.hpp"

#include <bit>

namespace pipitpond::agent {

void FetchLog::on_begun(core::Instant now) {
  ++counters_.begun;
  if (first_begun_ == core::Instant{}) {
    first_begun_ = now;
    next_line_ = now + kWithoutConfigurationLine;
  }
}

void FetchLog::on_failed(const core::Endpoint& from, core::Duration took, const std::string& reason) {
  ++counters_.failed;
  ++failed_in_a_row_;
  if (std::has_single_bit(failed_in_a_row_)) {
    log_->warn("event=fetch_failed from={} took_ms={} failed_in_a_row={} reason={}", core::to_string(from),
               core::to_millis(took), failed_in_a_row_, logging::field(reason));
  }
}

void FetchLog::on_completed(const core::Endpoint& from, core::Duration took, std::size_t bytes) {
  ++counters_.completed;
  counters_.bytes += bytes;
  const bool is_first = counters_.completed == 1;
  if (is_first || failed_in_a_row_ > 0) {
    log_->info("event=fetched from={} took_ms={} bytes={} failed_before={}", core::to_string(from),
               core::to_millis(took), bytes, failed_in_a_row_);
  }
  failed_in_a_row_ = 0;
}

void FetchLog::tick(core::Instant now, protocol::Revision revision, std::uint64_t received) {
  const bool waits = revision == 0 && first_begun_ != core::Instant{};
  if (!waits || now < next_line_) {
    return;
  }
  next_line_ = now + kWithoutConfigurationLine;
  log_->warn("event=without_configuration for_ms={} fetches={} failed={} received_bytes={}",
             core::to_millis(now - first_begun_), counters_.begun, counters_.failed, received);
}

}  // namespace pipitpond::agent
