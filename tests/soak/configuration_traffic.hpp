// Operators, readers and callers of a soak that ask for nothing but the configuration, and tell its rule what
// they were told. Their draws follow the seed; what comes of them follows the processes.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "platform_support/platform_fleet.hpp"
#include "soak/configuration_rule.hpp"

namespace pipitpond::soak {

/// Runs until it is stopped. Must outlive its coroutines.
class ConfigurationTraffic {
 public:
  ConfigurationTraffic(platform::PlatformFleet& fleet, ConfigurationRule& rule, std::uint64_t seed);

  /// Two operators, a reader of each replica, a watcher and a holder of sessions of each proxy.
  void start();
  void stop() { stopped_ = true; }
  [[nodiscard]] bool ended() const { return running_ == 0; }
  /// Reads that were served on held sessions.
  [[nodiscard]] std::size_t held_reads() const { return held_reads_; }

  /// Called at each acknowledgement of a valid change, with the replica that gave it.
  void on_acknowledged(std::function<void(std::size_t)> callback) { on_acknowledged_ = std::move(callback); }

  /// Sends a new change beside whatever else goes on.
  void begin_change();
  /// Sends a new change and waits for its acknowledgement; false when none came.
  bool change_now();
  /// Reads the configuration back from every replica that runs. False unless each of them answers in time.
  bool read_back();

 private:
  using Random = std::mt19937_64;

  boost::asio::awaitable<void> operate(Random random);
  boost::asio::awaitable<void> read_from(std::size_t replica);
  boost::asio::awaitable<void> watch(std::size_t proxy);
  /// Holds a session on the route of one version after the other, also when a later version has dropped it.
  boost::asio::awaitable<void> hold_sessions(std::size_t proxy);

  boost::asio::awaitable<void> send_new(std::uint64_t seed);
  boost::asio::awaitable<void> send_burst(Random& random);
  boost::asio::awaitable<void> send_again(Random& random, bool newest);
  boost::asio::awaitable<void> send_other_content(Random& random);
  boost::asio::awaitable<void> send_invalid(Random& random);
  /// Sends a valid change to one replica after the other until one gives a clear answer.
  boost::asio::awaitable<bool> deliver(Random& random, Version version, std::string body);
  /// True when it was answered 200.
  boost::asio::awaitable<bool> read_once(std::size_t replica);

  boost::asio::awaitable<void> hold_session(std::size_t proxy, Version version);
  /// The version that a proxy obeys; empty when no answer was clear.
  boost::asio::awaitable<std::optional<ObeyedVersion>> look_at(std::size_t proxy);
  boost::asio::awaitable<std::optional<Version>> find_obeyed(std::size_t proxy, ObeyedVersion& seen);

  Version next_version(std::uint64_t step);
  [[nodiscard]] std::string body_of(Version version) const;

  platform::PlatformFleet& fleet_;
  ConfigurationRule& rule_;
  Random random_;
  Version version_ = 1;                         ///< Newest that was sent.
  std::map<std::size_t, Version> last_obeyed_;  ///< By proxy.
  std::size_t held_reads_ = 0;
  std::function<void(std::size_t)> on_acknowledged_ = [](std::size_t) {};
  bool stopped_ = false;
  std::size_t running_ = 0;
};

}  // namespace pipitpond::soak
