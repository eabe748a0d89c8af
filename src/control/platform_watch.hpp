// Polls the platform's list of live and leaving machines while this replica leads, and drains leaving
// machines. The list lags behind, so only its changes are applied: an old entry must not revert an operator's
// undrain.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "configuration/command.hpp"
#include "control/leader_duties.hpp"
#include "control/replica.hpp"
#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "http/client.hpp"

namespace pipitpond::control {

/// An entry of the platform's list.
struct Machine {
  std::string name;
  std::string kind;  ///< "database", "proxy" or "control"; others are ignored.
  bool leaving = false;
};

/// Parses the body of GET /v1/machines and skips malformed entries. Fails with kInvalidArgument.
core::Result<std::vector<Machine>> parse_machines(const std::string& body);

/// Returns the operation for a machine whose entry has changed, or nothing if the configuration needs no
/// change. `was_leaving` tells whether the last list had the machine as leaving; empty if it was not listed.
std::optional<configuration::Operation> operation_for(const protocol::Configuration& configuration,
                                                      const Machine& machine,
                                                      std::optional<bool> was_leaving);

/// Polls the platform's list at a fixed interval.
class PlatformWatch {
 public:
  PlatformWatch(boost::asio::io_context& io, core::Endpoint platform, core::Duration interval,
                Replica& replica, LeaderDuties& duties);

  void start();
  void stop();
  /// Failed polls since the process started.
  [[nodiscard]] std::uint64_t failures() const { return failures_; }

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<core::Result<std::vector<Machine>>> fetch_machines();
  void apply_changes(const std::vector<Machine>& machines);

  boost::asio::io_context& io_;
  boost::asio::steady_timer timer_;
  core::Endpoint platform_;
  core::Duration interval_;
  Replica& replica_;
  LeaderDuties& duties_;
  bool running_ = false;
  std::unique_ptr<http::Client> client_;
  std::map<std::string, bool> previously_leaving_;  ///< State in the last list, by kind and name.
  std::uint64_t failures_ = 0;
};

}  // namespace pipitpond::control
