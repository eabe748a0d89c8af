#include "control/platform_watch.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "control/control_id.hpp"
#include "ownership/ownership.hpp"

namespace pipitpond::control {
namespace {

using boost::asio::awaitable;

constexpr core::Duration kCallTimeout = std::chrono::milliseconds(800);

std::optional<Machine> parse_machine(const nlohmann::json& json) {
  if (!json.is_object()) {
    return std::nullopt;
  }
  const auto text = [&json](const char* field) {
    const auto found = json.find(field);
    return found != json.end() && found->is_string() ? found->get<std::string>() : std::string();
  };
  Machine machine{text("name"), text("kind"), text("state") == "leaving"};
  if (machine.name.empty() || machine.kind.empty()) {
    return std::nullopt;
  }
  return machine;
}

}  // namespace

core::Result<std::vector<Machine>> parse_machines(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("machines") || !json.at("machines").is_array()) {
    return core::fail(core::ErrorKind::kInvalidArgument, "The platform's list of machines is malformed.",
                      "Check that platform.endpoint is the address of the platform.");
  }
  std::vector<Machine> machines;
  for (const auto& entry : json.at("machines")) {
    if (auto machine = parse_machine(entry)) {
      machines.push_back(std::move(*machine));
    }
  }
  return machines;
}

std::optional<configuration::Operation> operation_for(const protocol::Configuration& configuration,
                                                      const Machine& machine,
                                                      std::optional<bool> was_leaving) {
  const bool stopped_leaving = was_leaving && *was_leaving && !machine.leaving;
  const bool started_leaving = machine.leaving && !was_leaving.value_or(false);
  if (!stopped_leaving && !started_leaving) {
    return std::nullopt;
  }
  if (machine.kind == "database") {
    const core::DatabaseId id(machine.name);
    const protocol::Database* database = protocol::find_database(configuration, id);
    if (database != nullptr && database->draining != machine.leaving) {
      return configuration::SetDatabaseDraining{id, machine.leaving};
    }
  }
  if (machine.kind == "proxy") {
    const auto daemon = configuration.daemons.find(core::DaemonId(machine.name));
    const auto state = machine.leaving ? protocol::DaemonState::kLeaving : protocol::DaemonState::kLive;
    if (daemon != configuration.daemons.end() && daemon->second.state != state) {
      return configuration::SetDaemonState{daemon->first, daemon->second.incarnation, state};
    }
  }
  if (machine.kind == "control") {
    for (const auto& [id, control] : configuration.controls) {
      if (machine_name(id) == machine.name && control.leaving != machine.leaving) {
        return configuration::SetControlLeaving{id, machine.leaving};
      }
    }
  }
  return std::nullopt;
}

PlatformWatch::PlatformWatch(boost::asio::io_context& io, core::Endpoint platform, core::Duration interval,
                             Replica& replica, LeaderDuties& duties)
    : io_(io),
      timer_(io),
      platform_(std::move(platform)),
      interval_(interval),
      replica_(replica),
      duties_(duties) {}

void PlatformWatch::start() {
  running_ = true;
  boost::asio::co_spawn(io_, run(), boost::asio::detached);
}

void PlatformWatch::stop() {
  running_ = false;
  timer_.cancel();
  if (client_) {
    client_->close();
  }
}

awaitable<void> PlatformWatch::run() {
  while (running_) {
    if (replica_.leading()) {
      const auto machines = co_await fetch_machines();
      if (machines) {
        apply_changes(machines.value());
      } else {
        ++failures_;
        client_.reset();
      }
    } else {
      previously_leaving_.clear();
    }
    boost::system::error_code ignored;
    timer_.expires_after(interval_);
    co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
  }
}

awaitable<core::Result<std::vector<Machine>>> PlatformWatch::fetch_machines() {
  if (!client_ || !client_->is_open()) {
    auto connected = co_await http::Client::connect(io_, platform_, kCallTimeout);
    if (!connected) {
      co_return connected.error();
    }
    client_ = std::move(connected.value());
  }
  http::Request request;
  request.path = "/v1/machines";
  const auto response = co_await client_->send(std::move(request), kCallTimeout);
  if (!response) {
    co_return response.error();
  }
  co_return parse_machines(response.value().body);
}

void PlatformWatch::apply_changes(const std::vector<Machine>& machines) {
  if (!replica_.leading()) {
    return;
  }
  for (const Machine& machine : machines) {
    const std::string subject = machine.kind + " " + machine.name;
    const auto found = previously_leaving_.find(subject);
    const auto was_leaving = found == previously_leaving_.end() ? std::nullopt : std::optional(found->second);
    if (auto operation = operation_for(replica_.machine().configuration(), machine, was_leaving)) {
      duties_.propose("platform " + subject, std::move(*operation));
    }
    previously_leaving_[subject] = machine.leaving;
  }
}

}  // namespace pipitpond::control
