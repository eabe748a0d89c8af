// A link: listens, and relays each connection to its target with the link's faults.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <vector>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "faults.hpp"
#include "relay.hpp"

namespace pipitpond::faultproxy {

/// What to make a link of.
struct LinkOptions {
  std::string name;
  core::Endpoint listen;
  core::Endpoint target;
  core::Duration delay{0};  ///< Distance, each way.
  std::uint64_t seed = 1;
};

/// A fault to be set.
struct Fault {
  FaultKind kind = FaultKind::kNone;
  core::Duration delay{0};
  core::Duration jitter{0};
  double probability = 1;
  bool to_target = true;    ///< For kDelay and kDrop: whether this way is affected.
  bool from_target = true;  ///< Likewise.
};

/// One link. Destroying it closes its connections.
class Link : public std::enable_shared_from_this<Link> {
 public:
  /// Listens. Fails with kUnavailable when the address can't be bound.
  static core::Result<std::shared_ptr<Link>> start(boost::asio::io_context& io, const LinkOptions& options);
  ~Link();

  void set(const Fault& fault);
  [[nodiscard]] const LinkOptions& options() const { return options_; }
  [[nodiscard]] std::size_t connections();

 private:
  Link(boost::asio::io_context& io, LinkOptions options);

  core::Result<void> listen();
  boost::asio::awaitable<void> accept(std::shared_ptr<Link> self);
  void clear();
  void reset_relays();
  void lose_clients();
  void apply(const Fault& fault);

  boost::asio::io_context& io_;
  LinkOptions options_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint target_;
  std::shared_ptr<LinkState> state_;
  std::vector<std::weak_ptr<Relay>> relays_;
};

}  // namespace pipitpond::faultproxy
