#include "control/announcer.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "logging/logging.hpp"
#include "protocol/control_messages.hpp"
#include "wire/codec.hpp"

namespace pipitpond::control {

using boost::asio::awaitable;

Announcer::Announcer(boost::asio::io_context& io, core::Endpoint self, SilentDaemons silent_daemons)
    : io_(io), self_(std::move(self)), silent_daemons_(std::move(silent_daemons)) {}

awaitable<void> Announcer::run() {
  auto sender = wire::DatagramSender::open(io_);
  if (!sender) {
    logging::logger("control")->warn("event=no_announcements {}", core::describe(sender.error()));
    co_return;
  }
  sender_ = std::move(sender.value());
  core::Duration round_pause = kFirstRoundPause;
  for (int round = 0; round < kAnnouncementRounds && !stopped_; ++round) {
    co_await announce_to(silent_daemons_());
    co_await pause(round_pause);
    round_pause *= 2;
  }
  logging::logger("control")->info("event=announced datagrams={}", sent_);
}

awaitable<void> Announcer::announce_to(std::vector<core::Endpoint> daemons) {
  const std::string announcement = wire::pack(protocol::ControlAnnouncement{self_});
  std::size_t sent_in_batch = 0;
  for (const core::Endpoint& daemon : daemons) {
    if (stopped_) {
      co_return;
    }
    sender_->send(daemon, announcement);
    ++sent_;
    if (++sent_in_batch == kAnnouncementBatchSize) {
      sent_in_batch = 0;
      co_await pause(kAnnouncementBatchPause);
    }
  }
}

awaitable<void> Announcer::pause(core::Duration duration) {
  boost::system::error_code ignored;
  boost::asio::steady_timer timer(io_, duration);
  co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace pipitpond::control
