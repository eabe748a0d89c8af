#include "proxy/owned_database.hpp"

#include <utility>

namespace pipitpond::proxy {
namespace {

/// When to come back to a database that does not answer, milliseconds: about the time of a change of primary.
constexpr std::uint32_t kUnansweredRetryAfterMs = 200;

}  // namespace

CallInProgress::CallInProgress(std::shared_ptr<OwnedDatabase> owner, DatabaseConnection* connection,
                               core::Term term)
    : owner_(std::move(owner)),
      place_(owner_->calls_.insert(owner_->calls_.end(), Entry{connection, term})) {}

CallInProgress::~CallInProgress() {
  owner_->calls_.erase(place_);
}

OwnedDatabase::OwnedDatabase(boost::asio::io_context& io, core::GroupName group,
                             const protocol::Database& declaration, std::string client_name,
                             Pool::HeldChanged held_changed)
    : group_(std::move(group)),
      pool_(std::make_shared<Pool>(io,
                                   PoolTarget{declaration.id, declaration.endpoint, std::move(client_name)},
                                   std::move(held_changed))),
      gate_(std::make_shared<AdmissionGate>(io)),
      monitor_(core::BootClock::now(), declaration.id),
      status_client_(io, declaration.endpoint) {
  pool_->start();
}

void OwnedDatabase::set_budget(const ownership::Budget& budget, std::function<bool()> may_open) {
  pool_->set_budget(PoolBudget{budget.connections, std::move(may_open)});
  gate_->set_slots(budget.slots);
}

void OwnedDatabase::set_expectation(core::Term term, bool primary) {
  monitor_.set_expectation(term, primary);
  for (const CallInProgress::Entry& call : calls_) {
    if (call.term != 0 && call.term < term) {
      call.connection->close();
    }
  }
}

void OwnedDatabase::break_off_calls() {
  for (const CallInProgress::Entry& call : calls_) {
    call.connection->close();
  }
  // The calls' slots stay taken until the database has surely ended with them.
  gate_->refuse_all({core::ErrorKind::kUnavailable, "The database does not answer.",
                     "Send the request again; another database serves it once it is primary.",
                     kUnansweredRetryAfterMs});
}

void OwnedDatabase::on_probe_failed(core::Instant now, bool refused) {
  monitor_.on_probe_failed(now, refused);
  pool_->on_no_answer(refused);
}

void OwnedDatabase::observe_status(core::Instant asked_at, core::Instant now,
                                   const database::StatusAnswer& status) {
  monitor_.on_status(now, status);
  status_ = status;
  status_at_ = now;
  // A primary that is leaving is needed until it has been replaced.
  pool_->set_leaving(status.leaving && status.role != database::Role::kPrimary);
  pool_->observe_status(asked_at, status);
}

std::optional<database::StatusAnswer> OwnedDatabase::recent_status(core::Instant now,
                                                                   core::Duration age) const {
  return now - status_at_ <= age ? status_ : std::nullopt;
}

void OwnedDatabase::close() {
  pool_->close();
  gate_->refuse_all({core::ErrorKind::kUnavailable, "This daemon no longer owns the database.",
                     "Send the request again; another daemon serves it.", 1});
}

void OwnedDatabase::reopen() {
  monitor_ = failover::DatabaseMonitor(core::BootClock::now(), id());
  status_.reset();
  pool_->reopen();
}

}  // namespace pipitpond::proxy
