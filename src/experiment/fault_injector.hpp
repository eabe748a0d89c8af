// Injects a planned list of faults into a running fleet, through the runner and the fault proxies.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "experiment/fleet_file.hpp"
#include "experiment/operator_loop.hpp"
#include "experiment/schedule.hpp"
#include "oracle/observations.hpp"

namespace pipitpond::experiment {

/// A fault that was injected, and the deployments that it hit.
struct InjectedFault {
  oracle::FaultRecord record;
  std::string deployment;  ///< Empty: all.
};

/// Carries out a plan. One fault at a time in each deployment.
class FaultInjector {
 public:
  FaultInjector(boost::asio::io_context& io, const Fleet& fleet, std::vector<std::string> deployments,
                OperatorLoop& operators, oracle::Observations& observations);

  /// For the baseline without failover: control stands still while a primary is away.
  void prevent_failover() { failover_prevented_ = true; }
  void start(std::vector<PlannedFault> plan);
  /// True once every fault has been healed.
  [[nodiscard]] bool finished() const { return finished_; }
  [[nodiscard]] const std::vector<InjectedFault>& injected() const { return injected_; }
  /// Faults that hit a deployment.
  [[nodiscard]] std::vector<oracle::FaultRecord> of_deployment(const std::string& deployment) const;
  /// Races of operators that had another number of winners than one, or an answer that changed.
  [[nodiscard]] std::uint64_t unfair_races() const { return unfair_races_; }
  /// Faults that could not be injected or healed, in words.
  [[nodiscard]] const std::vector<std::string>& failures() const { return failures_; }

 private:
  boost::asio::awaitable<void> run(std::vector<PlannedFault> plan);
  boost::asio::awaitable<void> inject(PlannedFault fault, std::string deployment);
  boost::asio::awaitable<void> hit_primary(PlannedFault fault, std::string deployment);
  boost::asio::awaitable<void> raise_lag(PlannedFault fault, std::string deployment);
  boost::asio::awaitable<void> hit_proxy(PlannedFault fault, std::string deployment);
  boost::asio::awaitable<void> restart_replica(PlannedFault fault, std::string deployment);
  boost::asio::awaitable<void> drain_database(PlannedFault fault, std::string deployment);
  boost::asio::awaitable<void> race_operators(PlannedFault fault);
  boost::asio::awaitable<void> kill_control_leader(PlannedFault fault);
  boost::asio::awaitable<void> freeze_control(PlannedFault fault);
  boost::asio::awaitable<void> act(std::string process, std::string action);
  boost::asio::awaitable<void> act_on_control(std::string action);
  boost::asio::awaitable<void> take_primary_away(PlannedFault fault, std::string target);
  boost::asio::awaitable<void> stop_and_wait(std::string process);
  boost::asio::awaitable<void> wait_ready(FleetProcess process);
  /// Sets all links that lead to the target to one mode; see tools/faultproxy.
  boost::asio::awaitable<void> set_links(std::string target, std::string mode);
  boost::asio::awaitable<void> set_leaving(std::string database, bool leaving);
  core::GroupName pick_group(const PlannedFault& fault, const std::string& deployment) const;
  oracle::FaultRecord begin(const PlannedFault& fault, std::string target, core::GroupName group) const;
  void end(oracle::FaultRecord record, const std::string& deployment);
  void fail(const std::string& what);

  boost::asio::io_context& io_;
  const Fleet& fleet_;
  std::vector<std::string> deployments_;
  OperatorLoop& operators_;
  oracle::Observations& observations_;
  std::vector<InjectedFault> injected_;
  std::vector<std::string> failures_;
  std::uint64_t unfair_races_ = 0;
  std::uint64_t next_key_ = 0;
  std::size_t running_ = 0;
  bool finished_ = true;
  bool failover_prevented_ = false;
  std::size_t preventing_ = 0;  ///< Faults during which control stands still now.
};

}  // namespace pipitpond::experiment
