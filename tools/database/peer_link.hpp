// Carries a primary's messages to one peer over a kept connection.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "http/client.hpp"
#include "standin/types.hpp"

namespace pipitpond::database_program {

/// One peer. Sends one message at a time.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  /// Called with the peer's answer, or nothing when none came.
  using Done = std::function<void(std::uint64_t sequence, std::optional<standin::Response> response)>;

  PeerLink(boost::asio::io_context& io, core::Endpoint endpoint, Done done)
      : io_(io), endpoint_(std::move(endpoint)), done_(std::move(done)) {}

  [[nodiscard]] const core::Endpoint& endpoint() const { return endpoint_; }
  /// Sends the message and calls `done`, never from within this call. A message that comes while another is
  /// under way is reported as lost.
  void send(standin::ReplicateMessage message);
  /// Closes the connection; `done` is not called any more.
  void close();

 private:
  boost::asio::awaitable<void> run(std::shared_ptr<PeerLink> self, standin::ReplicateMessage message);
  boost::asio::awaitable<std::optional<standin::Response>> exchange(std::string body);

  boost::asio::io_context& io_;
  core::Endpoint endpoint_;
  Done done_;
  std::unique_ptr<http::Client> client_;
  bool busy_ = false;
};

}  // namespace pipitpond::database_program
