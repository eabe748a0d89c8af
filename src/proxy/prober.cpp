#include "proxy/prober.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <string_view>
#include <utility>
#include <vector>

#include "logging/logging.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::proxy {
namespace {

std::string_view text_of(protocol::Suspicion suspicion) {
  switch (suspicion) {
    case protocol::Suspicion::kUnreachable:
      return "it can't be reached";
    case protocol::Suspicion::kReplicationStalled:
      return "its writes find no majority";
    case protocol::Suspicion::kNotPrimary:
      return "it says that it is not primary";
    case protocol::Suspicion::kLeaving:
      return "it is leaving";
  }
  return "unknown";
}

}  // namespace

Prober::Prober(boost::asio::io_context& io, agent::Agent& agent, OwnedDatabases& databases,
               DatabaseViews& views)
    : io_(io), agent_(agent), databases_(databases), views_(views) {}

void Prober::tick(core::Instant now) {
  for (const auto& [id, database] : databases_.all()) {
    if (database->pool().lacks_room()) {
      database->monitor().ask_at_once();
    }
    if (database->monitor().tick(now)) {
      boost::asio::co_spawn(io_, probe(database), boost::asio::detached);
    }
  }
  judge(now);
}

boost::asio::awaitable<void> Prober::probe(std::shared_ptr<OwnedDatabase> database) {
  const core::Instant asked_at = core::BootClock::now();
  const auto status = co_await database->status_client().ask(protocol::kProbeTimeout);
  const core::Instant now = core::BootClock::now();
  if (!status) {
    database->on_probe_failed(now, status.error().kind == core::ErrorKind::kConnectionRefused);
    co_return;
  }
  if (status.value().database != database->id()) {
    // Another database answers at this endpoint: it must not serve in this one's name.
    database->on_probe_failed(now, false);
    co_return;
  }
  database->observe_status(asked_at, now, status.value());
  views_.observe_status(database->group(), asked_at, now, status.value());
}

void Prober::judge(core::Instant now) {
  std::vector<protocol::SuspicionReport> suspicions;
  for (const auto& [id, database] : databases_.all()) {
    auto suspicion = database->monitor().suspicion(now);
    const bool unreachable = suspicion && suspicion->suspicion == protocol::Suspicion::kUnreachable;
    views_.set_reachable(id, !unreachable);
    if (unreachable) {
      database->break_off_calls();
    }
    if (suspicion) {
      suspicions.push_back(std::move(*suspicion));
    }
  }
  log_changes(suspicions);
  agent_.set_suspicions(std::move(suspicions));
}

void Prober::log_changes(const std::vector<protocol::SuspicionReport>& suspicions) {
  std::map<core::DatabaseId, protocol::Suspicion> current;
  for (const protocol::SuspicionReport& report : suspicions) {
    current[report.database] = report.suspicion;
    const auto before = logged_.find(report.database);
    if (before == logged_.end() || before->second != report.suspicion) {
      logging::logger("proxy")->warn("Database {} is suspected: {}.", report.database.value(),
                                     text_of(report.suspicion));
    }
  }
  for (const auto& [database, suspicion] : logged_) {
    if (!current.contains(database)) {
      logging::logger("proxy")->info("Database {} is no longer suspected.", database.value());
    }
  }
  logged_ = std::move(current);
}

}  // namespace pipitpond::proxy
