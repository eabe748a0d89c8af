// Asks owners how far the databases are that this daemon neither owns nor has read from lately. Without it
// such a replica would never be chosen: its freshness is unknown, and only a read there would tell.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "proxy/dispatcher.hpp"
#include "routing/view.hpp"

namespace pipitpond::proxy {

/// What is known of a database's progress is asked for again when it is older than this.
inline constexpr core::Duration kProgressAge = std::chrono::milliseconds(300);
/// An owner answers no question about a database whose own status is older than this.
inline constexpr core::Duration kOldestStatus = std::chrono::milliseconds(500);

/// Asks at most one question at a time about each database, and only about groups that are being read
/// or have no primary.
class ProgressQuestions {
 public:
  ProgressQuestions(boost::asio::io_context& io, Dispatcher& dispatcher) : io_(io), dispatcher_(dispatcher) {}

  /// A read is being routed by the view, or a write found no primary: asks about what the view knows too
  /// little of.
  void ask_about(const routing::GroupView& view, core::Instant now);

 private:
  static boost::asio::awaitable<void> ask(Dispatcher& dispatcher, protocol::ForwardRequest question);

  boost::asio::io_context& io_;
  Dispatcher& dispatcher_;
  std::map<core::DatabaseId, core::Instant> asked_at_;
};

}  // namespace pipitpond::proxy
