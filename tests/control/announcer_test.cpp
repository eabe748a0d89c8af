#include "control/announcer.hpp"

#include <gtest/gtest.h>

#include "protocol/control_messages.hpp"
#include "support/coroutine.hpp"
#include "wire/codec.hpp"

namespace pipitpond::control {
namespace {

const core::Endpoint kSelf{"127.0.0.1", 7001};

class AnnouncerTest : public ::testing::Test {
 protected:
  AnnouncerTest() {
    listener_ =
        std::move(wire::DatagramListener::open(io_, {"127.0.0.1", 0}, [this](const std::string& bytes) {
                    const auto message = wire::unpack<protocol::ControlAnnouncement>(bytes);
                    ASSERT_TRUE(message);
                    EXPECT_EQ(message.value().internal, kSelf);
                    ++received_;
                  }).value());
  }

  /// Runs the announcer to its end.
  void run(Announcer& announcer) {
    bool done = false;
    const auto rounds = [&]() -> boost::asio::awaitable<void> {
      co_await announcer.run();
      done = true;
    };
    boost::asio::co_spawn(io_, rounds(), boost::asio::detached);
    ASSERT_TRUE(pipitpond::testing::run_until(io_, [&] { return done; }));
  }

  [[nodiscard]] core::Endpoint daemon() const { return {"127.0.0.1", listener_->port()}; }

  boost::asio::io_context io_;
  std::unique_ptr<wire::DatagramListener> listener_;
  int received_ = 0;
};

TEST_F(AnnouncerTest, SilentDaemonGetsAnAnnouncementInEachRound) {
  Announcer announcer(io_, kSelf, [this] { return std::vector<core::Endpoint>{daemon()}; });
  run(announcer);
  EXPECT_EQ(announcer.sent(), std::uint64_t{kAnnouncementRounds});
  EXPECT_TRUE(pipitpond::testing::run_until(
      io_, [this] { return received_ > 0; }, std::chrono::seconds(10)));
}

TEST_F(AnnouncerTest, DaemonThatHasContactedTheReplicaGetsNoFurtherAnnouncements) {
  int rounds = 0;
  Announcer announcer(io_, kSelf, [&] {
    return ++rounds == 1 ? std::vector<core::Endpoint>(2 * kAnnouncementBatchSize, daemon())
                         : std::vector<core::Endpoint>{};
  });
  run(announcer);
  EXPECT_EQ(announcer.sent(), std::uint64_t{2 * kAnnouncementBatchSize});
}

}  // namespace
}  // namespace pipitpond::control
