#include "control/revision_notices.hpp"

#include <utility>

namespace pipitpond::control {

RevisionNotices::RevisionNotices(boost::asio::io_context& io, Send send, core::Duration interval)
    : timer_(io), send_(std::move(send)), interval_(interval) {}

void RevisionNotices::announce(protocol::Revision revision) {
  revision_ = revision;
  if (notice_pending_) {
    return;
  }
  const core::Instant now = core::BootClock::now();
  if (now >= next_notice_at_) {
    send_now();
    return;
  }
  notice_pending_ = true;
  timer_.expires_after(next_notice_at_ - now);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      notice_pending_ = false;
      send_now();
    }
  });
}

void RevisionNotices::send_now() {
  next_notice_at_ = core::BootClock::now() + interval_;
  send_(revision_);
}

}  // namespace pipitpond::control
