// Answers notices of databases: POST /v1/databases/ID/heartbeat and POST /v1/databases/ID/leave. Any replica
// takes them. What every replica knows already is answered from the applied state; the rest goes to the
// leader in batches.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "configuration/command.hpp"
#include "control/database_notices.hpp"
#include "control/replica.hpp"
#include "control/route_json.hpp"
#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "protocol/control_messages.hpp"

namespace pipitpond::control {

/// Passes collected notices on to the leader.
using ForwardNotices = std::function<boost::asio::awaitable<core::Result<configuration::CommandResult>>(
    core::Endpoint leader, configuration::ChangeDatabases, core::Duration timeout)>;

bool is_database_notice(const protocol::OperatorRequest& request);

/// Takes notices of databases.
class DatabaseNoticeApi {
 public:
  DatabaseNoticeApi(boost::asio::io_context& io, Replica& replica, ForwardNotices forward);

  /// Answers within kNoticeAnswerLimit; with 503 or 504 when the notice could not be decided by then.
  boost::asio::awaitable<protocol::OperatorReply> handle(protocol::OperatorRequest request);
  /// Notices that a follower has collected; kNotLeader when this replica does not lead.
  boost::asio::awaitable<core::Result<configuration::CommandResult>> handle_as_leader(
      configuration::ChangeDatabases notices);

 private:
  using Outcome = core::Result<configuration::CommandResult>;

  /// The newest heartbeat that came here from a database.
  struct Heard {
    std::uint64_t born = 0;
    std::uint64_t sequence = 0;
  };

  /// True when a newer heartbeat of the same database came here before; else this one is noted.
  bool overtaken(const ReceivedNotice& notice);
  [[nodiscard]] bool known(const configuration::Operation& operation) const;
  [[nodiscard]] protocol::OperatorReply accepted() const;
  [[nodiscard]] std::optional<core::Endpoint> other_leader() const;
  /// For longer than a notice is worth waiting.
  bool without_leader_for_long();
  [[nodiscard]] configuration::ChangeDatabases unknown_of(
      const configuration::ChangeDatabases& notices) const;
  boost::asio::awaitable<Outcome> propose(configuration::ChangeDatabases notices);
  boost::asio::awaitable<Outcome> propose_once(configuration::ChangeDatabases notices);

  boost::asio::io_context& io_;
  Replica& replica_;
  ForwardNotices forward_;
  std::optional<core::Instant> without_leader_since_;
  std::map<core::DatabaseId, Heard> heard_;  ///< Bounded to kMaxHeard.
  DatabaseNotices notices_;
};

}  // namespace pipitpond::control
