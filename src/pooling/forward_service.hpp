// Runs statements on this daemon's connections for other daemons, and holds their transactions open.
// Not thread-safe.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/error.hpp"
#include "pooling/backends.hpp"
#include "pooling/caller_access.hpp"
#include "pooling/forward_messages.hpp"
#include "pooling/statement_lease.hpp"
#include "wire/server.hpp"

namespace pipitpond::pooling {

/// The server side of StatementForwarder, at an owner of connections.
class ForwardService {
 public:
  ForwardService(Backends& backends, CallerAccess& access);

  /// Request handler and close callback of a wire::Server.
  boost::asio::awaitable<core::Result<std::string>> handle(wire::PeerId peer, wire::MessageType type,
                                                           std::string body);
  void peer_closed(wire::PeerId peer);

  /// From now on refuses new statements as not run. Open transactions continue.
  void refuse_new() { refusing_new_ = true; }
  /// Aborts the transactions in which no statement is running, because the daemon stops.
  void end_transactions();
  /// Aborts transactions that have been idle for somewhat longer than `limit`. The daemon that forwarded them
  /// should have ended them at the limit, but may be frozen or disconnected. Zero: no limit.
  void end_idle_transactions(core::Instant now, core::Duration limit);

  /// Number of running statements and open transactions.
  [[nodiscard]] std::size_t in_progress() const { return running_ + transactions_.size(); }
  /// Statements run for other daemons since the start.
  [[nodiscard]] std::uint64_t served() const { return served_; }

 private:
  /// A transaction held open for another daemon.
  struct HeldTransaction {
    wire::PeerId peer = 0;
    std::unique_ptr<StatementLease> lease;
    std::optional<BackendChoice> choice;  ///< The database, as known when the lease was granted.
    bool running = false;
    bool abandoned = false;  ///< Its daemon has ended it while a statement runs.
    core::Instant last_statement_ended_at{};
  };
  using HeldTransactionPointer = std::shared_ptr<HeldTransaction>;

  boost::asio::awaitable<core::Result<std::string>> run(wire::PeerId peer, ForwardedStatement forwarded);
  boost::asio::awaitable<core::Result<std::string>> run_outside_transaction(wire::PeerId peer,
                                                                            ForwardedStatement forwarded);
  boost::asio::awaitable<core::Result<std::string>> run_in_transaction(HeldTransactionPointer held,
                                                                       ForwardedStatement forwarded);
  boost::asio::awaitable<core::Result<std::string>> ask_status(ForwardedStatusRequest request);
  boost::asio::awaitable<core::Result<std::string>> show_primary(ShownPrimaryRequest request);
  void end_transaction(wire::PeerId peer, ForwardedTransaction transaction);

  Backends& backends_;
  CallerAccess& access_;
  std::map<ForwardedTransaction, HeldTransactionPointer> transactions_;
  std::set<wire::PeerId> peers_;  ///< Connected peers that have sent a statement.
  ForwardedTransaction last_transaction_;
  std::size_t running_ = 0;
  std::uint64_t served_ = 0;
  bool refusing_new_ = false;
};

}  // namespace pipitpond::pooling
