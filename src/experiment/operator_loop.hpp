// Operators at work during a run: a stream of changes, and races between operators with equal numbers.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "experiment/fleet_file.hpp"
#include "experiment/json_call.hpp"
#include "oracle/observations.hpp"

namespace pipitpond::experiment {

/// What a race of operators showed.
struct RaceResult {
  std::uint32_t accepted = 0;   ///< Changes with the same number that were accepted: must be 1.
  bool resend_differs = false;  ///< A resent change got another answer than its first.
  std::string remark;
  [[nodiscard]] bool fair() const { return accepted == 1 && !resend_differs; }
};

/// Makes changes through control.
class OperatorLoop {
 public:
  OperatorLoop(boost::asio::io_context& io, const Fleet& fleet, oracle::Observations& observations);

  /// Revises a zone of its own every kChangeInterval until stopped.
  void start();
  void stop() { stopping_ = true; }
  /// Several operators revise one zone from the same revision at once, through different replicas, and the
  /// winner's change is sent again.
  boost::asio::awaitable<RaceResult> race();
  /// Sends a call to the control replicas in turn until one gives a definite answer; empty when none did.
  boost::asio::awaitable<std::optional<JsonReply>> ask(std::string method, std::string path,
                                                       nlohmann::json body);

 private:
  boost::asio::awaitable<void> run();
  boost::asio::awaitable<std::optional<std::uint64_t>> revision_of(std::string zone);
  boost::asio::awaitable<void> race_once(std::string zone, nlohmann::json body, std::size_t replica,
                                         std::optional<std::uint64_t>* accepted, std::size_t* running);
  nlohmann::json change(std::uint64_t revision, const std::string& region);
  void note_accepted(std::uint64_t revision);
  /// Only this loop revises the zone, so that control may never show an older revision of it.
  void check_not_reverted(std::uint64_t revision);

  boost::asio::io_context& io_;
  const Fleet& fleet_;
  oracle::Observations& observations_;
  std::uint64_t next_change_ = 0;
  std::uint64_t last_accepted_ = 0;
  std::size_t next_replica_ = 0;
  bool stopping_ = false;
};

inline constexpr core::Duration kChangeInterval = std::chrono::milliseconds(1500);

}  // namespace pipitpond::experiment
