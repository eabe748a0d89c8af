#include "pooling/primary_proof.hpp"

#include <algorithm>
#include <utility>

namespace pipitpond::pooling {
namespace {

/// The primary itself, and the one database that need not reply.
constexpr std::size_t kDatabasesNotNeeded = 2;

}  // namespace

PrimaryProof::PrimaryProof(core::DatabaseId primary, std::size_t members)
    : primary_(std::move(primary)),
      confirmations_needed_(members > kDatabasesNotNeeded ? members - kDatabasesNotNeeded : 1) {}

void PrimaryProof::add_status(const core::DatabaseId& database, const BackendStatus& status,
                              core::Instant replied) {
  const Reply reply{status, replied - std::chrono::milliseconds(status.connection_age_ms)};
  if (database == primary_) {
    primary_reply_ = reply;
  } else {
    others_[database] = reply;
  }
}

bool PrimaryProof::refuted() const {
  if (!primary_reply_) {
    return false;
  }
  const BackendStatus& primary = primary_reply_->status;
  const bool leads = primary.primary && primary.received.term <= primary.term;
  const bool contradicted = std::any_of(others_.begin(), others_.end(), [this](const auto& other) {
    return !confirms_primary(other.second.status);
  });
  return !leads || contradicted;
}

/// A database that was ordered to stop receiving entries until a later term takes part in a change of
/// primary. A database that still leads an earlier term has been replaced without noticing, and has no later
/// entries. A primary with an empty log beside one with entries has started again without its log.
bool PrimaryProof::confirms_primary(const BackendStatus& status) const {
  const BackendStatus& primary = primary_reply_->status;
  const core::Term led = primary.term;
  const bool knows_no_later_term =
      status.received.term <= led && status.term <= led && status.held_term <= led;
  const bool rivals = status.primary && status.term == led;
  const bool primary_lost_its_log = primary.received.index == 0 && status.received.index > 0;
  return knows_no_later_term && !rivals && !primary_lost_its_log;
}

std::optional<core::LogPosition> PrimaryProof::position() const {
  if (!primary_reply_ || refuted() || others_.size() < confirmations_needed_) {
    return std::nullopt;
  }
  return primary_reply_->status.received;
}

std::optional<core::Term> PrimaryProof::excludes_failover(core::Instant excluded_at) const {
  const auto remembers_fences = [&](const Reply& reply) {
    return reply.running_since + kFenceLifetime <= excluded_at;
  };
  if (!primary_reply_ || refuted() || !remembers_fences(*primary_reply_)) {
    return std::nullopt;
  }
  const auto unfenced = std::count_if(others_.begin(), others_.end(),
                                      [&](const auto& other) { return remembers_fences(other.second); });
  if (static_cast<std::size_t>(unfenced) < confirmations_needed_) {
    return std::nullopt;
  }
  return primary_reply_->status.term;
}

}  // namespace pipitpond::pooling
