#include "experiment/fault_injector.hpp"

#include <boost/asio/co_spawn.hpp>
#include <exception>

#include "experiment/group_watch.hpp"
#include "experiment/json_call.hpp"
#include "workload/proxy_client.hpp"

namespace pipitpond::experiment {
namespace {

using oracle::FaultKind;
using oracle::FaultRecord;
using workload::pause;
using workload::unix_micros_now;

constexpr core::Duration kActionTimeout = std::chrono::seconds(15);
constexpr core::Duration kProbeTimeout = std::chrono::milliseconds(300);
constexpr core::Duration kStopPatience = std::chrono::seconds(20);
constexpr core::Duration kReadyPatience = std::chrono::seconds(15);
constexpr core::Duration kPollPause = std::chrono::milliseconds(50);
constexpr std::uint32_t kRaisedLagMs = 1500;
constexpr const char* kLinkIsSound = "pass";
constexpr const char* kLinkHoldsAll = "cut";
constexpr const char* kLinkHoldsAnswers = "cut_to_client";

void rethrow(std::exception_ptr failure) {
  if (failure) {
    std::rethrow_exception(failure);
  }
}

}  // namespace

FaultInjector::FaultInjector(boost::asio::io_context& io, const Fleet& fleet,
                             std::vector<std::string> deployments, OperatorLoop& operators,
                             oracle::Observations& observations)
    : io_(io),
      fleet_(fleet),
      deployments_(std::move(deployments)),
      operators_(operators),
      observations_(observations) {}

void FaultInjector::start(std::vector<PlannedFault> plan) {
  finished_ = false;
  boost::asio::co_spawn(io_, run(std::move(plan)), rethrow);
}

boost::asio::awaitable<void> FaultInjector::run(std::vector<PlannedFault> plan) {
  const core::Instant began = core::BootClock::now();
  for (const PlannedFault& fault : plan) {
    const core::Duration passed = core::BootClock::now() - began;
    if (fault.at > passed) {
      co_await pause(io_, fault.at - passed);
    }
    // Deployments have groups of their own and are hit at the same time; what they share is hit once.
    const bool shared = fault.kind == FaultKind::kRaceOperators ||
                        fault.kind == FaultKind::kKillControlLeader ||
                        fault.kind == FaultKind::kFreezeControl;
    const std::size_t hits = shared ? 1 : deployments_.size();
    running_ = hits;
    for (std::size_t hit = 0; hit < hits; ++hit) {
      boost::asio::co_spawn(io_, inject(fault, deployments_[hit]), rethrow);
    }
    while (running_ > 0) {
      co_await pause(io_, kPollPause);
    }
  }
  finished_ = true;
}

boost::asio::awaitable<void> FaultInjector::inject(PlannedFault fault, std::string deployment) {
  switch (fault.kind) {
    case FaultKind::kKillPrimary:
    case FaultKind::kFreezePrimary:
    case FaultKind::kCutPrimary:
    case FaultKind::kCutPrimaryOneWay:
      co_await hit_primary(fault, deployment);
      break;
    case FaultKind::kRaiseLag:
      co_await raise_lag(fault, deployment);
      break;
    case FaultKind::kRestartReplica:
      co_await restart_replica(fault, deployment);
      break;
    case FaultKind::kKillProxy:
    case FaultKind::kFreezeProxy:
    case FaultKind::kRestartProxy:
    case FaultKind::kDrainProxy:
      co_await hit_proxy(fault, deployment);
      break;
    case FaultKind::kDrainDatabase:
      co_await drain_database(fault, deployment);
      break;
    case FaultKind::kRaceOperators:
      co_await race_operators(fault);
      break;
    case FaultKind::kKillControlLeader:
      co_await kill_control_leader(fault);
      break;
    case FaultKind::kFreezeControl:
      co_await freeze_control(fault);
      break;
  }
  --running_;
}

core::GroupName FaultInjector::pick_group(const PlannedFault& fault, const std::string& deployment) const {
  for (const FleetDeployment& one : fleet_.deployments) {
    if (one.name == deployment && !one.groups.empty()) {
      return one.groups[fault.choice % one.groups.size()];
    }
  }
  return {};
}

FaultRecord FaultInjector::begin(const PlannedFault& fault, std::string target, core::GroupName group) const {
  return {fault.kind, std::move(target), std::move(group), unix_micros_now(), 0, ""};
}

void FaultInjector::end(FaultRecord record, const std::string& deployment) {
  record.ended_us = unix_micros_now();
  injected_.push_back({std::move(record), deployment});
}

void FaultInjector::fail(const std::string& what) {
  failures_.push_back(what);
}

boost::asio::awaitable<void> FaultInjector::act(std::string process, std::string action) {
  nlohmann::json body;
  body["action"] = action;
  const auto reply =
      co_await call_once(io_, fleet_.admin, "POST", "/v1/processes/" + process, body, kActionTimeout);
  if (!reply || !reply.value().accepted()) {
    fail(action + " " + process + ": " + (reply ? reply.value().text : describe(reply.error())));
  }
}

boost::asio::awaitable<void> FaultInjector::stop_and_wait(std::string process) {
  co_await act(process, "stop");
  const core::Instant give_up = core::BootClock::now() + kStopPatience;
  while (core::BootClock::now() < give_up) {
    const auto reply = co_await call_once(io_, fleet_.admin, "GET", "/v1/fleet", nullptr, kActionTimeout);
    if (reply) {
      const auto fleet = parse_fleet(reply.value().text);
      const FleetProcess* found = fleet ? fleet.value().find(process) : nullptr;
      if (found != nullptr && found->pid == 0) {
        co_return;
      }
    }
    co_await pause(io_, kPollPause);
  }
  fail(process + " did not end after its planned stop");
  co_await act(process, "kill");
}

boost::asio::awaitable<void> FaultInjector::wait_ready(FleetProcess process) {
  const core::Instant give_up = core::BootClock::now() + kReadyPatience;
  while (core::BootClock::now() < give_up) {
    const auto reply = co_await call_once(io_, process.endpoint, "GET", "/readyz", nullptr, kProbeTimeout);
    if (reply && reply.value().accepted()) {
      co_return;
    }
    co_await pause(io_, kPollPause);
  }
  fail(process.name + " did not become ready again");
}

boost::asio::awaitable<void> FaultInjector::set_links(std::string target, std::string mode) {
  bool found = false;
  for (const FleetLink& link : fleet_.links) {
    if (link.target != target) {
      continue;
    }
    found = true;
    nlohmann::json body;
    body["mode"] = mode;
    const auto reply =
        co_await call_once(io_, link.admin, "POST", "/v1/links/" + link.name, body, kActionTimeout);
    if (!reply || !reply.value().accepted()) {
      fail("link " + link.name + ": " + (reply ? reply.value().text : describe(reply.error())));
    }
  }
  if (!found) {
    fail("no link leads to " + target);
  }
}

boost::asio::awaitable<void> FaultInjector::hit_primary(PlannedFault fault, std::string deployment) {
  const core::GroupName group = pick_group(fault, deployment);
  const auto primary = co_await find_primary(io_, fleet_, group);
  if (!primary) {
    fail("group " + group.value() + " had no primary to hit");
    co_return;
  }
  const std::string target = primary->process.name;
  FaultRecord record = begin(fault, target, group);
  if (failover_prevented_ && preventing_++ == 0) {
    co_await act_on_control("freeze");
  }
  co_await take_primary_away(fault, target);
  if (failover_prevented_ && --preventing_ == 0) {
    co_await act_on_control("thaw");
  }
  end(std::move(record), deployment);
}

boost::asio::awaitable<void> FaultInjector::act_on_control(std::string action) {
  for (const FleetProcess& replica : fleet_.of_kind("control", "")) {
    co_await act(replica.name, action);
  }
}

boost::asio::awaitable<void> FaultInjector::take_primary_away(PlannedFault fault, std::string target) {
  if (fault.kind == FaultKind::kCutPrimary || fault.kind == FaultKind::kCutPrimaryOneWay) {
    const bool one_way = fault.kind == FaultKind::kCutPrimaryOneWay;
    co_await set_links(target, one_way ? kLinkHoldsAnswers : kLinkHoldsAll);
    co_await pause(io_, fault.lasts);
    co_await set_links(target, kLinkIsSound);
  } else {
    const bool freeze = fault.kind == FaultKind::kFreezePrimary;
    co_await act(target, freeze ? "freeze" : "kill");
    co_await pause(io_, fault.lasts);
    co_await act(target, freeze ? "thaw" : "start");
  }
}

boost::asio::awaitable<void> FaultInjector::raise_lag(PlannedFault fault, std::string deployment) {
  const core::GroupName group = pick_group(fault, deployment);
  const std::vector<FleetProcess> databases = fleet_.databases_of(group);
  FaultRecord record = begin(fault, group.value(), group);
  std::vector<nlohmann::json> former;
  for (const FleetProcess& database : databases) {
    const auto before =
        co_await call_once(io_, database.endpoint, "GET", "/v1/admin", nullptr, kActionTimeout);
    const nlohmann::json answer = before ? before.value().body : nlohmann::json();
    former.push_back(answer.is_object() ? answer.value("apply_lag_ms", nlohmann::json(0))
                                        : nlohmann::json(0));
    nlohmann::json body;
    body["apply_lag_ms"] = kRaisedLagMs;
    const auto raised = co_await call_once(io_, database.endpoint, "POST", "/v1/admin", body, kActionTimeout);
    if (!raised || !raised.value().accepted()) {
      fail("lag of " + database.name + " could not be raised");
    }
  }
  co_await pause(io_, fault.lasts);
  for (std::size_t index = 0; index < databases.size(); ++index) {
    nlohmann::json body;
    body["apply_lag_ms"] = former[index];
    co_await call_once(io_, databases[index].endpoint, "POST", "/v1/admin", body, kActionTimeout);
  }
  end(std::move(record), deployment);
}

boost::asio::awaitable<void> FaultInjector::hit_proxy(PlannedFault fault, std::string deployment) {
  const std::vector<FleetProcess> proxies = fleet_.of_kind("proxy", deployment);
  const FleetProcess& proxy = proxies[fault.choice % proxies.size()];
  FaultRecord record = begin(fault, proxy.name, {});
  const workload::UnixMicros began_us = record.began_us;
  if (fault.kind == FaultKind::kKillProxy) {
    co_await act(proxy.name, "kill");
    co_await pause(io_, fault.lasts);
  } else if (fault.kind == FaultKind::kFreezeProxy) {
    co_await act(proxy.name, "freeze");
    co_await pause(io_, fault.lasts);
    co_await act(proxy.name, "thaw");
    end(record, deployment);
    observations_.absences.push_back({proxy.name, began_us, unix_micros_now()});
    co_return;
  } else {
    co_await stop_and_wait(proxy.name);
  }
  // A planned stop is over when the process has ended; what comes after is its start.
  end(record, deployment);
  if (fault.kind == FaultKind::kDrainProxy) {
    co_await pause(io_, fault.lasts);
  }
  co_await act(proxy.name, "start");
  co_await wait_ready(proxy);
  observations_.absences.push_back({proxy.name, began_us, unix_micros_now()});
}

boost::asio::awaitable<void> FaultInjector::restart_replica(PlannedFault fault, std::string deployment) {
  const core::GroupName group = pick_group(fault, deployment);
  const auto primary = co_await find_primary(io_, fleet_, group);
  std::vector<FleetProcess> replicas;
  for (const FleetProcess& database : fleet_.databases_of(group)) {
    if (primary && database.name != primary->process.name) {
      replicas.push_back(database);
    }
  }
  if (replicas.empty()) {
    fail("group " + group.value() + " had no primary with a replica to restart");
    co_return;
  }
  const FleetProcess replica = replicas[fault.choice / fleet_.deployments.size() % replicas.size()];
  FaultRecord record = begin(fault, replica.name, group);
  co_await act(replica.name, "kill");
  co_await pause(io_, fault.lasts);
  co_await act(replica.name, "start");
  co_await wait_ready(replica);
  end(std::move(record), deployment);
}

boost::asio::awaitable<void> FaultInjector::set_leaving(std::string database, bool leaving) {
  nlohmann::json body;
  body["kind"] = "database";
  body["name"] = database;
  body["leaving"] = leaving;
  body["key"] = std::to_string(core::unix_millis_now()) + "-measure-drain-" + std::to_string(next_key_++);
  const auto reply = co_await operators_.ask("POST", "/v1/drain", body);
  if (!reply || !reply->accepted()) {
    fail("drain of " + database + ": " + (reply ? reply->text : "no answer"));
  }
}

boost::asio::awaitable<void> FaultInjector::drain_database(PlannedFault fault, std::string deployment) {
  const core::GroupName group = pick_group(fault, deployment);
  const auto primary = co_await find_primary(io_, fleet_, group);
  if (!primary) {
    fail("group " + group.value() + " had no primary to drain");
    co_return;
  }
  const std::string target = primary->process.name;
  FaultRecord record = begin(fault, target, group);
  co_await set_leaving(target, true);
  co_await pause(io_, fault.lasts);
  co_await stop_and_wait(target);
  end(std::move(record), deployment);
  co_await act(target, "start");
  co_await wait_ready(primary->process);
  co_await set_leaving(target, false);
}

boost::asio::awaitable<void> FaultInjector::race_operators(PlannedFault fault) {
  FaultRecord record = begin(fault, "control", {});
  const RaceResult result = co_await operators_.race();
  unfair_races_ += result.fair() ? 0 : 1;
  record.remark = result.remark;
  end(std::move(record), "");
}

boost::asio::awaitable<void> FaultInjector::kill_control_leader(PlannedFault fault) {
  const auto status = co_await operators_.ask("GET", "/v1/status", nullptr);
  const std::string leader = status && status->body.is_object() ? status->body.value("leader", "") : "";
  if (fleet_.find(leader) == nullptr) {
    fail("control's status names no leader of the fleet: '" + leader + "'");
    co_return;
  }
  FaultRecord record = begin(fault, leader, {});
  co_await act(leader, "kill");
  co_await pause(io_, fault.lasts);
  co_await act(leader, "start");
  end(std::move(record), "");
}

boost::asio::awaitable<void> FaultInjector::freeze_control(PlannedFault fault) {
  const std::vector<FleetProcess> replicas = fleet_.of_kind("control", "");
  const std::string target = replicas[fault.choice % replicas.size()].name;
  FaultRecord record = begin(fault, target, {});
  co_await act(target, "freeze");
  co_await pause(io_, fault.lasts);
  co_await act(target, "thaw");
  end(std::move(record), "");
}

std::vector<FaultRecord> FaultInjector::of_deployment(const std::string& deployment) const {
  std::vector<FaultRecord> records;
  for (const InjectedFault& fault : injected_) {
    if (fault.deployment.empty() || fault.deployment == deployment) {
      records.push_back(fault.record);
    }
  }
  return records;
}

}  // namespace pipitpond::experiment
