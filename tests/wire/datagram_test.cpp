#include "wire/datagram.hpp"

#include <gtest/gtest.h>

#include <vector>

#include "support/coroutine.hpp"

namespace pipitpond::wire {
namespace {

TEST(DatagramTest, ArrivesAtItsListenerAsItWasSent) {
  boost::asio::io_context io;
  std::vector<std::string> received;
  auto listener = DatagramListener::open(io, {"127.0.0.1", 0},
                                         [&](const std::string& bytes) { received.push_back(bytes); });
  ASSERT_TRUE(listener);
  auto sender = DatagramSender::open(io);
  ASSERT_TRUE(sender);
  const core::Endpoint to{"127.0.0.1", listener.value()->port()};
  sender.value()->send(to, "first");
  sender.value()->send(to, std::string(2 * kMaxDatagramBytes, 'x'));
  ASSERT_TRUE(pipitpond::testing::run_until(
      io, [&] { return received.size() == 2; }, std::chrono::seconds(10)));
  EXPECT_EQ(received[0], "first");
  EXPECT_LE(received[1].size(), kMaxDatagramBytes);
}

TEST(DatagramTest, APeerWithoutAListenerIsNoFailure) {
  boost::asio::io_context io;
  std::uint16_t free_port = 0;
  {
    const auto closed = DatagramListener::open(io, {"127.0.0.1", 0}, [](const std::string&) {});
    free_port = closed.value()->port();
  }
  auto sender = DatagramSender::open(io);
  sender.value()->send({"127.0.0.1", free_port}, "to nobody");
  sender.value()->send({"127.0.0.1", free_port}, "again");
  sender.value()->send({"no address", 1}, "nowhere");
}

TEST(DatagramTest, APortInUseIsAnErrorThatNamesTheRemedy) {
  boost::asio::io_context io;
  const auto first = DatagramListener::open(io, {"127.0.0.1", 0}, [](const std::string&) {});
  const auto second =
      DatagramListener::open(io, {"127.0.0.1", first.value()->port()}, [](const std::string&) {});
  ASSERT_FALSE(second);
  EXPECT_EQ(second.error().kind, core::ErrorKind::kUnavailable);
  EXPECT_FALSE(second.error().remedy.empty());
}

}  // namespace
}  // namespace pipitpond::wire
