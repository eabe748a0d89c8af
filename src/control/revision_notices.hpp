// Rate-limits the notices that tell daemons of a new revision of the configuration.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "core/clock.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::control {

/// Minimum time between two notices. Each one makes every daemon fetch, store and apply the configuration.
/// When hundreds of revisions arise within a second, as after the loss of a zone, daemons fetch several at
/// once.
inline constexpr core::Duration kNoticeInterval = std::chrono::milliseconds(100);

/// Sends the first notice at once, and merges all that follow within the interval into one.
class RevisionNotices {
 public:
  using Send = std::function<void(protocol::Revision)>;

  RevisionNotices(boost::asio::io_context& io, Send send, core::Duration interval = kNoticeInterval);

  /// Schedules a notice of a new revision. This revision or a later one is sent within the interval.
  void announce(protocol::Revision revision);

 private:
  void send_now();

  boost::asio::steady_timer timer_;
  Send send_;
  core::Duration interval_;
  core::Instant next_notice_at_;
  protocol::Revision revision_ = 0;
  bool notice_pending_ = false;
};

}  // namespace pipitpond::control
