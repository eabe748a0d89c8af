// The operator API, see docs/API.md. Every replica accepts every request; followers forward requests to the
// leader. Reads are linearizable: they wait for a read barrier, so that a leader without a quorum serves no
// stale data.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "configuration/command.hpp"
#include "control/leader_duties.hpp"
#include "control/operator_json.hpp"
#include "control/replica.hpp"
#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "protocol/control_messages.hpp"

namespace pipitpond::control {

/// Forwards a request to the leader.
using ForwardToLeader = std::function<boost::asio::awaitable<core::Result<protocol::OperatorReply>>(
    core::Endpoint leader, protocol::OperatorRequest, core::Duration timeout)>;
/// Validates the source of a policy.
using CheckPolicy = std::function<core::Result<void>(std::string_view source)>;

struct OperatorTimeouts {
  core::Duration proposal = std::chrono::milliseconds(1500);
  core::Duration forward = std::chrono::milliseconds(2000);
  /// How long a request is retried during a change of leader. Safe, because changes carry an idempotency key.
  core::Duration leader_change = std::chrono::milliseconds(3000);
  core::Duration retry_interval = std::chrono::milliseconds(50);
};

/// Handles requests of operators and notices of databases.
class OperatorApi {
 public:
  OperatorApi(boost::asio::io_context& io, Replica& replica, LeaderDuties& duties, ForwardToLeader forward,
              CheckPolicy check_policy, OperatorTimeouts timeouts = {});

  /// Handles a request here on the leader, or else forwards it. Retries during a change of leader.
  boost::asio::awaitable<protocol::OperatorReply> handle(protocol::OperatorRequest request);
  /// Handles a request that a follower has forwarded. Never forwards it again.
  boost::asio::awaitable<protocol::OperatorReply> handle_as_leader(protocol::OperatorRequest request);

 private:
  using Reply = protocol::OperatorReply;

  boost::asio::awaitable<Reply> handle_once(protocol::OperatorRequest request);
  boost::asio::awaitable<Reply> handle_get(std::string path);
  boost::asio::awaitable<Reply> handle_put(protocol::OperatorRequest request);
  boost::asio::awaitable<Reply> handle_post(protocol::OperatorRequest request);
  boost::asio::awaitable<Reply> propose_change(core::Result<configuration::Command> command);
  boost::asio::awaitable<Reply> change_members(core::Result<MemberRequest> request);
  boost::asio::awaitable<Reply> put_routes(protocol::OperatorRequest request);
  boost::asio::awaitable<Reply> read_routes();
  boost::asio::awaitable<Reply> handle_database_notice(protocol::OperatorRequest request);
  boost::asio::awaitable<configuration::Plan> plan_registration(
      configuration::RegisterDatabase& registration);
  void log_refused_notice(const configuration::RegisterDatabase& registration, const core::Error& refusal);
  [[nodiscard]] std::optional<Reply> answer_unchanged_database(
      const protocol::OperatorRequest& request) const;
  [[nodiscard]] Reply database_reply() const;
  Reply check_policy_source(const core::Result<std::string>& source);
  [[nodiscard]] Reply read_resource(const std::string& path) const;
  [[nodiscard]] core::Result<configuration::Command> parse_policy(const core::PolicyName& name,
                                                                  const std::string& body) const;

  boost::asio::io_context& io_;
  Replica& replica_;
  LeaderDuties& duties_;
  ForwardToLeader forward_;
  CheckPolicy check_policy_;
  OperatorTimeouts timeouts_;
  std::uint64_t refused_notices_ = 0;
  core::Instant next_refusal_log_at_{};
};

/// Converts an error to a reply with its HTTP status and a JSON body.
protocol::OperatorReply error_reply(const core::Error& error,
                                    std::optional<protocol::Revision> current_revision = {});
/// Returns the kind of the error in a reply, or nothing if the reply is no error.
std::optional<core::ErrorKind> error_kind_of(const protocol::OperatorReply& reply);

}  // namespace pipitpond::control
