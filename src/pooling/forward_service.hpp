// Runs statements for daemons that own no connections to a database, and holds their transactions open.
// Single-threaded.
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

/// The owner's side of a StatementForwarder.
class ForwardService {
 public:
  ForwardService(Backends& backends, CallerAccess& access);

  /// Handler and closing of a wire::Server.
  boost::asio::awaitable<core::Result<std::string>> handle(wire::PeerId peer, wire::MessageType type,
                                                           std::string body);
  void peer_closed(wire::PeerId peer);

  /// New statements are refused as not run; transactions go on.
  void refuse_new() { refuses_ = true; }
  /// Ends the transactions between two statements, because the daemon stops.
  void end_transactions();
  /// Ends those that have rested for `limit` and a little longer: whoever asked for them should have done so,
  /// but may be frozen or cut off. Zero: none.
  void end_idle_transactions(core::Instant now, core::Duration limit);

  /// Statements that run and transactions that are open.
  [[nodiscard]] std::size_t in_progress() const { return running_ + transactions_.size(); }
  /// Statements that were run for others since the start.
  [[nodiscard]] std::uint64_t served() const { return served_; }

 private:
  /// A transaction of another daemon's caller.
  struct Held {
    wire::PeerId peer = 0;
    std::unique_ptr<StatementLease> lease;
    std::optional<BackendChoice> choice;  ///< What the database was when the lease was given.
    bool running = false;
    bool given_up = false;  ///< Nobody will go on with it.
    core::Instant last_statement_ended_at{};
  };
  using HeldPointer = std::shared_ptr<Held>;

  boost::asio::awaitable<core::Result<std::string>> run(wire::PeerId peer, ForwardedStatement asked);
  boost::asio::awaitable<core::Result<std::string>> run_outside_transaction(wire::PeerId peer,
                                                                            ForwardedStatement asked);
  boost::asio::awaitable<core::Result<std::string>> run_in_transaction(HeldPointer held,
                                                                       ForwardedStatement asked);
  boost::asio::awaitable<core::Result<std::string>> ask_status(ForwardedStatusRequest asked);
  boost::asio::awaitable<core::Result<std::string>> show_primary(ShownPrimaryRequest asked);
  void end(wire::PeerId peer, ForwardedTransaction transaction);

  Backends& backends_;
  CallerAccess& access_;
  std::map<ForwardedTransaction, HeldPointer> transactions_;
  std::set<wire::PeerId> peers_;  ///< That have sent a statement and are still connected.
  ForwardedTransaction last_transaction_;
  std::size_t running_ = 0;
  std::uint64_t served_ = 0;
  bool refuses_ = false;
};

}  // namespace pipitpond::pooling
