// The two users' workloads, as coroutines of many callers on one io_context.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "core/clock.hpp"
#include "workload/caller.hpp"
#include "workload/deployment.hpp"
#include "workload/history.hpp"

namespace pipitpond::workload {

/// Runs one deployment's callers. The same seed gives the same choices of each caller.
class Workload {
 public:
  /// `deployment` needs at least one proxy and one group.
  Workload(boost::asio::io_context& io, Deployment deployment, std::uint64_t seed);

  /// Starts all callers; they go on until stop().
  void start(core::Duration length);
  /// Callers finish what they have begun and start nothing new.
  void stop();
  /// True once every caller has finished.
  [[nodiscard]] bool finished() const { return running_ == 0; }
  [[nodiscard]] const History& history() const { return history_; }
  [[nodiscard]] const Deployment& deployment() const { return deployment_; }

 private:
  using Behaviour = std::function<boost::asio::awaitable<void>(Caller&, std::uint32_t number)>;

  void start_callers(const std::string& kind, std::uint32_t count, const Behaviour& behaviour);
  boost::asio::awaitable<void> run_caller(Caller& caller, std::uint32_t number, Behaviour behaviour);
  boost::asio::awaitable<void> ingest(Caller& caller, std::uint32_t number);
  boost::asio::awaitable<void> query_catalogue(Caller& caller, std::uint32_t number);
  boost::asio::awaitable<void> submit_tallies(Caller& caller, std::uint32_t number);
  boost::asio::awaitable<void> confirm_sightings(Caller& caller, std::uint32_t number);
  boost::asio::awaitable<void> read_board(Caller& caller, std::uint32_t number);
  /// Zone of the daylight now: it passes through all zones once in the run.
  [[nodiscard]] const core::ZoneName& daylight_zone() const;
  [[nodiscard]] core::GroupName group_of(std::uint32_t number) const;

  Deployment deployment_;
  History history_;
  RunContext run_;
  std::uint64_t seed_;
  UnixMicros began_us_ = 0;
  core::Duration length_{0};
  std::vector<std::unique_ptr<Caller>> callers_;
  std::size_t running_ = 0;
};

}  // namespace pipitpond::workload
