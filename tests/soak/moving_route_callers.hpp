// Callers of a soak that keep sessions open on the moving route and tell the rule on configurations where
// databases ran their statements.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <unordered_set>
#include <vector>

#include "platform_stage/service.hpp"
#include "platform_support/platform_fleet.hpp"
#include "soak/configuration_rule.hpp"

namespace pipitpond::soak {

/// Requests that a service's databases have executed.
class ExecutedRequests {
 public:
  ExecutedRequests(platform_stage::Service& service, std::size_t databases)
      : service_(service), read_(databases, 0) {}

  bool contains(const std::string& request);

 private:
  platform_stage::Service& service_;
  std::vector<std::size_t> read_;  ///< Of each database: how many of its executed statements are in here.
  std::unordered_set<std::string> requests_;
};

/// Runs until it is stopped. Must outlive its coroutines.
class MovingRouteCallers {
 public:
  MovingRouteCallers(platform::PlatformFleet& fleet, platform_stage::Service& second_service,
                     std::size_t databases, ConfigurationRule& rule, std::uint64_t seed);

  /// Two callers at each proxy: one reads, one writes; both run transactions.
  void start();
  void stop() { stopped_ = true; }
  [[nodiscard]] bool ended() const { return running_ == 0; }

 private:
  using Random = std::mt19937_64;

  boost::asio::awaitable<void> call(std::size_t proxy, bool writes, Random random);
  /// Opens a session and keeps it until its proxy ends it.
  boost::asio::awaitable<void> hold_session(std::size_t proxy, bool writes, Random& random);
  /// False when the session has ended.
  boost::asio::awaitable<bool> run_statement(platform::Caller& caller, ProxyLook look, std::string text);
  boost::asio::awaitable<bool> run_transaction(platform::Caller& caller, ProxyLook look, std::string text);
  /// Tells the rule where the last statement of a session ran.
  void note(ProxyLook look, const platform::Caller& caller, const platform::Answer& answer);
  void tell(const ProxyLook& look, std::vector<RoutePlace> places);

  platform::PlatformFleet& fleet_;
  ConfigurationRule& rule_;
  ExecutedRequests at_first_;
  ExecutedRequests at_second_;
  Random random_;
  bool stopped_ = false;
  std::size_t running_ = 0;
};

}  // namespace pipitpond::soak
