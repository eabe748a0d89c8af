#include "experiment/group_watch.hpp"

#include <iterator>

#include "experiment/json_call.hpp"
#include "workload/proxy_client.hpp"

namespace pipitpond::experiment {
namespace {

constexpr core::Duration kStatusTimeout = std::chrono::milliseconds(500);
constexpr core::Duration kLogTimeout = std::chrono::seconds(20);
constexpr core::Duration kRetryPause = std::chrono::milliseconds(200);

/// Reads the committed part of one database's log, in as many calls as it takes.
boost::asio::awaitable<core::Result<oracle::GroupLog>> read_entries(boost::asio::io_context& io,
                                                                    CurrentPrimary primary) {
  oracle::GroupLog log;
  log.group = primary.process.group;
  JsonConnection connection(io, primary.process.endpoint);
  std::uint64_t next = 1;
  while (next <= primary.status.committed.index) {
    const std::string path = "/v1/log?from=" + std::to_string(next);
    const auto reply = co_await connection.call("GET", path, nullptr, kLogTimeout);
    if (!reply) {
      co_return reply.error();
    }
    auto answer = database::parse<database::LogAnswer>(reply.value().text);
    if (!answer) {
      co_return answer.error();
    }
    const std::uint64_t before = next;
    for (database::LogEntry& entry : answer.value().entries) {
      if (entry.position.index >= next && entry.position.index <= primary.status.committed.index) {
        next = entry.position.index + 1;
        log.entries.push_back(std::move(entry));
      }
    }
    if (next == before) {
      co_return core::Error{core::ErrorKind::kCorrupt, "The log has no entry " + std::to_string(next),
                            "See the database's log file.", 0};
    }
  }
  co_return log;
}

}  // namespace

boost::asio::awaitable<std::optional<CurrentPrimary>> find_primary(boost::asio::io_context& io, Fleet fleet,
                                                                   core::GroupName group) {
  std::optional<CurrentPrimary> best;
  for (const FleetProcess& process : fleet.databases_of(group)) {
    const auto reply = co_await call_once(io, process.endpoint, "GET", "/v1/status", nullptr, kStatusTimeout);
    if (!reply) {
      continue;
    }
    const auto status = database::parse<database::StatusAnswer>(reply.value().text);
    const bool primary = status && status.value().role == database::Role::kPrimary;
    if (primary && (!best || status.value().term > best->status.term)) {
      best = CurrentPrimary{process, status.value()};
    }
  }
  co_return best;
}

boost::asio::awaitable<core::Result<oracle::GroupLog>> read_log(boost::asio::io_context& io, Fleet fleet,
                                                                core::GroupName group,
                                                                core::Duration within) {
  const core::Instant give_up = core::BootClock::now() + within;
  core::Error last{core::ErrorKind::kTimeout,
                   "Group " + group.value() + " has no primary with a committed log",
                   "See control's and the databases' log files.", 0};
  while (core::BootClock::now() < give_up) {
    const auto primary = co_await find_primary(io, fleet, group);
    if (primary && primary->status.committed == primary->status.received) {
      auto log = co_await read_entries(io, *primary);
      if (log) {
        co_return log;
      }
      last = log.error();
    }
    co_await workload::pause(io, kRetryPause);
  }
  co_return last;
}

}  // namespace pipitpond::experiment
