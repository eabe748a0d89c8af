#include "fuzz/faults.hpp"

#include <algorithm>
#include <limits>
#include <thread>
#include <utility>

#include "database/protocol.hpp"
#include "fleet/http_call.hpp"
#include "workload/history.hpp"

namespace pipitpond::fuzz {
namespace {

using fleet::LinkMode;
using workload::unix_micros_now;

constexpr core::Duration kStopLimit = std::chrono::seconds(30);
constexpr core::Duration kReadyLimit = std::chrono::seconds(60);
constexpr core::Duration kPoll = std::chrono::milliseconds(10);
constexpr core::Duration kStatusTimeout = std::chrono::milliseconds(300);
constexpr core::Duration kAdminTimeout = std::chrono::seconds(5);
constexpr double kUsualLagMs = 5;
constexpr double kRaisedLagMs = 800;
constexpr const char* kLagTarget = "lag";
constexpr const char* kAllControl = "control";

}  // namespace

Faults::Faults(fleet::Fleet& fleet, core::GroupName group)
    : fleet_(fleet),
      group_(std::move(group)),
      proxies_(names_of("proxy")),
      databases_(names_of("database")),
      control_(names_of("control")) {}

std::vector<std::string> Faults::names_of(const std::string& kind) {
  std::vector<std::string> names;
  for (const experiment::FleetProcess& process : fleet_.describe().of_kind(kind, "")) {
    names.push_back(process.name);
  }
  return names;
}

void Faults::begin(const Command& command) {
  switch (command.action) {
    case Action::kKillProxy:
    case Action::kFreezeProxy:
    case Action::kRestartProxy:
    case Action::kDrainProxy:
      hit_proxy(command);
      break;
    case Action::kKillDatabase:
    case Action::kFreezeDatabase:
    case Action::kRestartDatabase:
    case Action::kDrainDatabase:
    case Action::kCutDatabase:
    case Action::kCutAnswers:
    case Action::kCutRequests:
    case Action::kResetDatabase:
    case Action::kLoseAnswers:
    case Action::kDelayAnswers:
      hit_database(command);
      break;
    case Action::kRaiseLag:
      raise_lag(command);
      break;
    case Action::kKillControlLeader:
    case Action::kFreezeControl:
    case Action::kCutControl:
      hit_control(command);
      break;
    default:
      break;
  }
}

void Faults::open(const Command& command, const std::string& target, std::function<void()> end) {
  ++begun_;
  hit_.insert(target);
  note(describe(command) + ": " + target);
  open_.push_back(
      {core::BootClock::now() + std::chrono::milliseconds(command.lasts_ms), target, std::move(end)});
}

void Faults::end_due() {
  const core::Instant now = core::BootClock::now();
  for (std::size_t index = 0; index < open_.size();) {
    if (open_[index].due > now) {
      ++index;
      continue;
    }
    const Open fault = std::move(open_[index]);
    open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(index));
    fault.end();
    hit_.erase(fault.target);
    note("ended: " + fault.target);
  }
}

void Faults::end_all() {
  for (Open& fault : open_) {
    fault.due = core::Instant::min();
  }
  end_due();
  for (const auto* names : {&control_, &databases_, &proxies_}) {
    for (const std::string& name : *names) {
      check(fleet_.start_process(name));
      check(fleet_.wait_ready(name, kReadyLimit));
    }
  }
  const auto primary = fleet_.wait_for_primary(group_, "", kReadyLimit);
  if (!primary) {
    failures_.push_back(core::describe(primary.error()));
  }
}

void Faults::hit_proxy(const Command& command) {
  const std::string& name = proxies_.at(command.proxy % proxies_.size());
  if (hit_.contains(name)) {
    return;
  }
  absences_.push_back({name, unix_micros_now(), std::numeric_limits<workload::UnixMicros>::max()});
  const std::size_t absence = absences_.size() - 1;
  if (command.action == Action::kFreezeProxy) {
    check(fleet_.freeze(name));
  } else if (command.action == Action::kDrainProxy) {
    planned_stops_.push_back(absences_.back());
    check(fleet_.begin_stop(name));
  } else {
    check(fleet_.kill(name));
  }
  const bool frozen = command.action == Action::kFreezeProxy;
  Command lasting = command;
  lasting.lasts_ms = command.action == Action::kRestartProxy ? 0 : command.lasts_ms;
  open(lasting, name, [this, name, absence, frozen] {
    if (frozen) {
      check(fleet_.thaw(name));
    } else {
      start_and_wait_gone(name);
    }
    absences_[absence].ended_us = unix_micros_now();
  });
}

void Faults::start_and_wait_gone(const std::string& process) {
  const core::Instant give_up = core::BootClock::now() + kStopLimit;
  while (fleet_.describe().find(process)->pid != 0) {
    if (core::BootClock::now() >= give_up) {
      failures_.push_back("held: the planned stop of " + process + " did not end");
      check(fleet_.kill(process));
    }
    std::this_thread::sleep_for(kPoll);
  }
  check(fleet_.start_process(process));
}

std::string Faults::database_of(const Command& command) {
  if (command.database != kPrimary) {
    return databases_.at(command.database);
  }
  std::string primary = databases_.front();
  core::Term term = 0;
  for (const std::string& name : databases_) {
    const auto reply = fleet_.call(name, "GET", "/v1/status", nullptr, kStatusTimeout);
    const auto status = reply ? database::parse<database::StatusAnswer>(reply.value().text)
                              : core::Result<database::StatusAnswer>(reply.error());
    if (status && status.value().role == database::Role::kPrimary && status.value().term > term) {
      term = status.value().term;
      primary = name;
    }
  }
  return primary;
}

void Faults::hit_database(const Command& command) {
  const std::string name = database_of(command);
  if (hit_.contains(name)) {
    return;
  }
  switch (command.action) {
    case Action::kKillDatabase:
    case Action::kRestartDatabase: {
      check(fleet_.kill(name));
      Command lasting = command;
      lasting.lasts_ms = command.action == Action::kRestartDatabase ? 0 : command.lasts_ms;
      open(lasting, name, [this, name] { start_and_wait_gone(name); });
      break;
    }
    case Action::kFreezeDatabase:
      check(fleet_.freeze(name));
      open(command, name, [this, name] { check(fleet_.thaw(name)); });
      break;
    case Action::kDrainDatabase:
      if (hit_.contains(kAllControl)) {
        return;
      }
      drain_database(name, true);
      ++draining_;
      open(command, name, [this, name] {
        drain_database(name, false);
        --draining_;
      });
      break;
    default:
      hit_links(command, name);
      break;
  }
}

void Faults::hit_links(const Command& command, const std::string& database) {
  const std::string link = database + ".proxies";
  switch (command.action) {
    case Action::kCutDatabase:
      check(fleet_.set_links_of(database, LinkMode::kCut));
      break;
    case Action::kCutAnswers:
      check(fleet_.set_links_of(database, LinkMode::kCutToClient));
      break;
    case Action::kCutRequests:
      check(fleet_.set_links_of(database, LinkMode::kCutToTarget));
      break;
    case Action::kResetDatabase:
      send_fault(link, {{"link", link}, {"fault", "reset"}});
      break;
    case Action::kLoseAnswers:
      send_fault(link,
                 {{"link", link}, {"fault", "drop"}, {"probability", 0.2}, {"direction", "from_target"}});
      break;
    case Action::kDelayAnswers:
      send_fault(link, {{"link", link},
                        {"fault", "delay"},
                        {"delay_ms", 150},
                        {"jitter_ms", 300},
                        {"direction", "from_target"}});
      break;
    default:
      return;
  }
  open(command, database, [this, database] { check(fleet_.set_links_of(database, LinkMode::kPass)); });
}

void Faults::send_fault(const std::string& link, const nlohmann::json& fault) {
  for (const experiment::FleetLink& one : fleet_.describe().links) {
    if (one.name == link) {
      const auto reply = fleet::call(one.admin, "POST", "/v1/faults", fault, kAdminTimeout);
      if (!reply || !reply.value().accepted()) {
        failures_.push_back("Link " + link + " refused " + fault.dump());
      }
    }
  }
}

void Faults::drain_database(const std::string& database, bool leaving) {
  const std::string key =
      std::to_string(core::unix_millis_now()) + "-fuzz-drain-" + std::to_string(++next_key_);
  const auto reply = fleet_.control(
      "POST", "/v1/drain", {{"kind", "database"}, {"name", database}, {"leaving", leaving}, {"key", key}});
  if (!reply || !reply.value().accepted()) {
    failures_.push_back("Control refused to drain " + database);
  }
}

void Faults::raise_lag(const Command& command) {
  if (hit_.contains(kLagTarget)) {
    return;
  }
  set_lag(kRaisedLagMs);
  open(command, kLagTarget, [this] { set_lag(kUsualLagMs); });
}

// A database that is away keeps or forgets its lag; both are sound.
void Faults::set_lag(double milliseconds) {
  for (const std::string& database : databases_) {
    if (!hit_.contains(database)) {
      (void)fleet_.call(database, "POST", "/v1/admin", {{"apply_lag_ms", milliseconds}}, kStatusTimeout);
    }
  }
}

void Faults::hit_control(const Command& command) {
  if (control_is_hit()) {
    return;
  }
  if (command.action == Action::kCutControl) {
    if (draining_ > 0) {
      return;  // The end of the drain needs control.
    }
    set_control_links(LinkMode::kCut);
    open(command, kAllControl, [this] { set_control_links(LinkMode::kPass); });
    return;
  }
  std::string name = control_.at(command.database % control_.size());
  if (command.action == Action::kKillControlLeader) {
    const auto status = fleet_.control("GET", "/v1/status");
    name = status && status.value().body.is_object() ? status.value().body.value("leader", name) : name;
  }
  if (std::count(control_.begin(), control_.end(), name) == 0) {
    return;
  }
  if (command.action == Action::kKillControlLeader) {
    check(fleet_.kill(name));
    open(command, name, [this, name] { start_and_wait_gone(name); });
  } else {
    check(fleet_.freeze(name));
    open(command, name, [this, name] { check(fleet_.thaw(name)); });
  }
}

bool Faults::control_is_hit() const {
  return hit_.contains(kAllControl) ||
         std::any_of(control_.begin(), control_.end(),
                     [this](const std::string& name) { return hit_.contains(name); });
}

void Faults::set_control_links(LinkMode mode) {
  for (const std::string& name : control_) {
    check(fleet_.set_links_of(name, mode));
  }
}

void Faults::check(const core::Result<void>& result) {
  if (!result) {
    failures_.push_back(core::describe(result.error()));
  }
}

void Faults::note(const std::string& line) {
  journal_.push_back(std::to_string(unix_micros_now()) + " " + line);
}

}  // namespace pipitpond::fuzz
