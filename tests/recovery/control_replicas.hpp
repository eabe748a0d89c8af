// Control replicas as daemons see them: they answer fetches by the production code and grant every lease.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "configuration/state_machine.hpp"
#include "control/fetch_replies.hpp"
#include "core/endpoint.hpp"
#include "protocol/control_messages.hpp"
#include "wire/server.hpp"

namespace pipitpond::testing {

/// One replica; all replicas of a test hold the same state.
class ControlReplica {
 public:
  ControlReplica(boost::asio::io_context& io, const configuration::StateMachine& machine, bool leading);

  [[nodiscard]] core::Endpoint endpoint() const { return {"127.0.0.1", server_->port()}; }
  void set_leader(core::Endpoint leader) { leader_ = std::move(leader); }
  [[nodiscard]] std::uint64_t bytes_sent() const { return server_->bytes_sent(); }

 private:
  boost::asio::awaitable<core::Result<std::string>> answer(wire::PeerId peer, wire::MessageType type,
                                                           std::string body);
  protocol::HeartbeatReply on_heartbeat(const protocol::Heartbeat& heartbeat) const;

  const configuration::StateMachine& machine_;
  control::FetchReplies fetch_replies_;
  core::Endpoint leader_;
  bool leading_;
  std::unique_ptr<wire::Server> server_;
};

/// Three replicas; the first leads.
class ControlReplicas {
 public:
  explicit ControlReplicas(boost::asio::io_context& io);

  [[nodiscard]] std::vector<core::Endpoint> endpoints() const;
  [[nodiscard]] std::uint64_t bytes_sent() const;
  /// Puts a table of routes whose names do not compress. One route has some 90 bytes on the wire.
  void put_routes(std::size_t routes);

 private:
  configuration::StateMachine machine_;
  std::uint64_t index_ = 0;
  std::uint64_t version_ = 0;
  std::vector<std::unique_ptr<ControlReplica>> replicas_;
};

}  // namespace pipitpond::testing
