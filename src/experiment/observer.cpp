#include "experiment/observer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>
#include <sstream>

#include "experiment/json_call.hpp"
#include "workload/proxy_client.hpp"

namespace pipitpond::experiment {
namespace {

constexpr core::Duration kInterval = std::chrono::milliseconds(100);
constexpr core::Duration kTimeout = std::chrono::milliseconds(400);
constexpr const char* kRevisionGauge = "pipitpond_proxy_revision";

}  // namespace

std::optional<std::uint64_t> revision_in_metrics(const std::string& text) {
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with(kRevisionGauge)) {
      continue;
    }
    const auto space = line.rfind(' ');
    std::istringstream number(line.substr(space == std::string::npos ? line.size() : space + 1));
    double value = 0;
    if (number >> value) {
      return static_cast<std::uint64_t>(value);
    }
  }
  return std::nullopt;
}

Observer::Observer(boost::asio::io_context& io, const Fleet& fleet) : io_(io), fleet_(fleet) {}

void Observer::start() {
  for (const FleetProcess& process : fleet_.processes) {
    if (process.kind == "database") {
      boost::asio::co_spawn(io_, watch_database(process), boost::asio::detached);
    }
    if (process.kind == "proxy") {
      boost::asio::co_spawn(io_, watch_proxy(process), boost::asio::detached);
    }
  }
}

boost::asio::awaitable<void> Observer::watch_database(FleetProcess process) {
  JsonConnection connection(io_, process.endpoint);
  while (!stopping_) {
    const auto reply = co_await connection.call("GET", "/v1/status", nullptr, kTimeout);
    if (reply) {
      const auto status = database::parse<database::StatusAnswer>(reply.value().text);
      if (status) {
        observations_.databases.push_back({workload::unix_micros_now(), status.value()});
      }
    }
    co_await workload::pause(io_, kInterval);
  }
}

boost::asio::awaitable<void> Observer::watch_proxy(FleetProcess process) {
  JsonConnection connection(io_, process.endpoint);
  while (!stopping_) {
    const auto reply = co_await connection.call("GET", "/metrics", nullptr, kTimeout);
    const auto revision = reply ? revision_in_metrics(reply.value().text) : std::nullopt;
    if (revision) {
      observations_.revisions.push_back({workload::unix_micros_now(), process.name, *revision});
    }
    co_await workload::pause(io_, kInterval);
  }
}

oracle::Observations Observer::of_deployment(const std::string& deployment) const {
  std::set<core::DatabaseId> databases;
  std::set<std::string> proxies;
  for (const FleetProcess& process : fleet_.of_kind("database", deployment)) {
    databases.insert(core::DatabaseId(process.name));
  }
  for (const FleetProcess& process : fleet_.of_kind("proxy", deployment)) {
    proxies.insert(process.name);
  }
  oracle::Observations chosen;
  chosen.changes = observations_.changes;
  chosen.absences = observations_.absences;
  chosen.control_reverts = observations_.control_reverts;
  for (const oracle::DatabaseSample& sample : observations_.databases) {
    if (databases.contains(sample.status.database)) {
      chosen.databases.push_back(sample);
    }
  }
  for (const oracle::RevisionSample& sample : observations_.revisions) {
    if (proxies.contains(sample.proxy)) {
      chosen.revisions.push_back(sample);
    }
  }
  return chosen;
}

}  // namespace pipitpond::experiment
