// Operators whose connections differ from those of our own client: kept open, ahead of the answers, in chunks
// or small packets, ended before the answer.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <csignal>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "platform_support/platform_fleet.hpp"

namespace pipitpond::platform {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr int kControls = 3;
constexpr unsigned kOk = 200;
/// An operator asks another daemon after so long without an answer.
constexpr milliseconds kAnswerLimit(1000);
constexpr std::size_t kSmallPacket = 7;
const std::string kEndOfHead = "\r\n\r\n";

/// One connection of an operator, byte by byte.
class OperatorConnection {
 public:
  OperatorConnection(PlatformFleet& fleet, std::size_t control) : fleet_(fleet), socket_(fleet.io()) {
    const core::Endpoint endpoint = fleet.control_http(control);
    socket_.connect(tcp::endpoint(boost::asio::ip::make_address(endpoint.address), endpoint.port), error_);
    socket_.set_option(tcp::no_delay(true), error_);
    socket_.non_blocking(true, error_);
  }

  void send(const std::string& bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes), error_); }

  /// The next answer; empty when none came in time or the connection has ended before.
  std::optional<ControlAnswer> answer() {
    fleet_.wait([this] { return !receive() || is_whole(); }, kAnswerLimit);
    return is_whole() ? std::optional(take()) : std::nullopt;
  }

  [[nodiscard]] bool has_ended() const { return ended_; }
  /// Whether the connection ended inside an answer.
  [[nodiscard]] bool ended_inside_an_answer() const { return ended_ && !received_.empty(); }
  void close() { socket_.close(error_); }

 private:
  /// False once the connection has ended.
  bool receive() {
    std::array<char, 4096> buffer{};
    while (!ended_) {
      error_code error;
      const std::size_t size = socket_.read_some(boost::asio::buffer(buffer), error);
      received_.append(buffer.data(), size);
      if (error == boost::asio::error::would_block) {
        return true;
      }
      ended_ = bool(error);
    }
    return false;
  }

  [[nodiscard]] std::size_t body_size() const {
    std::string head = received_.substr(0, received_.find(kEndOfHead));
    std::transform(head.begin(), head.end(), head.begin(), ::tolower);
    const std::string field = "content-length: ";
    const auto found = head.find(field);
    return found == std::string::npos ? 0 : std::stoull(head.substr(found + field.size()));
  }

  [[nodiscard]] bool is_whole() const {
    const auto head = received_.find(kEndOfHead);
    return head != std::string::npos && received_.size() >= head + kEndOfHead.size() + body_size();
  }

  ControlAnswer take() {
    const std::string version = "HTTP/1.1 ";
    const auto status = static_cast<unsigned>(std::stoul(received_.substr(version.size())));
    const std::size_t body = received_.find(kEndOfHead) + kEndOfHead.size();
    const std::size_t size = body_size();
    ControlAnswer answer{status, received_.substr(body, size)};
    received_.erase(0, body + size);
    return answer;
  }

  PlatformFleet& fleet_;
  tcp::socket socket_;
  error_code error_;
  std::string received_;
  bool ended_ = false;
};

std::string head_of(const std::string& method, const std::string& path, const std::string& fields) {
  return method + " " + path + " HTTP/1.1\r\nHost: control\r\n" + fields + "\r\n";
}

std::string put(const std::string& body, const std::string& more_fields = "") {
  const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return head_of("POST", "/Config.Put", "Content-Type: application/json\r\n" + length + more_fields) + body;
}

std::string get() {
  return head_of("GET", "/Config.Get", "");
}

std::string in_chunks(const std::string& body, std::size_t size) {
  std::ostringstream text;
  for (std::size_t begin = 0; begin < body.size(); begin += size) {
    const std::string chunk = body.substr(begin, size);
    text << std::hex << chunk.size() << "\r\n" << chunk << "\r\n";
  }
  text << "0\r\n\r\n";
  return text.str();
}

class OperatorConnectionsTest : public ::testing::Test {
 protected:
  OperatorConnectionsTest() : fleet_({}, kControls, 1) {}
  void SetUp() override { ASSERT_TRUE(fleet_.become_ready()); }

  std::string read_from(std::size_t control) {
    std::string body;
    fleet_.wait([&] {
      const auto [status, read] = fleet_.call_control(control, "GET", "/Config.Get", "");
      body = status == kOk ? read : "";
      return status == kOk;
    });
    return body;
  }

  void expect_in_force(std::uint64_t version) {
    for (std::size_t control = 0; control < fleet_.controls(); ++control) {
      EXPECT_EQ(read_from(control), fleet_.configuration(version)) << "control " << control;
    }
  }

  PlatformFleet fleet_;
};

TEST_F(OperatorConnectionsTest, OneConnectionCarriesChangesAndReadsInTurn) {
  OperatorConnection operators(fleet_, 0);
  for (std::uint64_t version = 2; version < 8; ++version) {
    operators.send(put(fleet_.configuration(version)));
    const auto taken = operators.answer();
    ASSERT_TRUE(taken && taken->first == kOk) << version;
    operators.send(get());
    const auto read = operators.answer();
    ASSERT_TRUE(read && read->first == kOk) << version;
    EXPECT_EQ(read->second, fleet_.configuration(version));
  }
}

TEST_F(OperatorConnectionsTest, CallsSentBeforeTheLastAnswerAreAnsweredInTheirOrder) {
  OperatorConnection operators(fleet_, 1);
  operators.send(put(fleet_.configuration(2)) + get() + put(fleet_.configuration(3)) + get());
  for (const std::uint64_t version : {2, 3}) {
    const auto taken = operators.answer();
    ASSERT_TRUE(taken && taken->first == kOk) << version;
    const auto read = operators.answer();
    ASSERT_TRUE(read && read->first == kOk) << version;
    EXPECT_EQ(read->second, fleet_.configuration(version));
  }
}

TEST_F(OperatorConnectionsTest, AChangeInChunksIsTakenWhole) {
  for (const std::size_t size : {1, 13, 100'000}) {
    const std::uint64_t version = size + 1;
    OperatorConnection operators(fleet_, 2);
    operators.send(head_of("POST", "/Config.Put", "Transfer-Encoding: chunked\r\n") +
                   in_chunks(fleet_.configuration(version), size));
    const auto taken = operators.answer();
    ASSERT_TRUE(taken && taken->first == kOk) << size;
    expect_in_force(version);
  }
}

TEST_F(OperatorConnectionsTest, AChangeInManySmallPacketsIsTakenWhole) {
  OperatorConnection operators(fleet_, 0);
  const std::string bytes = put(fleet_.configuration(2));
  for (std::size_t begin = 0; begin < bytes.size(); begin += kSmallPacket) {
    operators.send(bytes.substr(begin, kSmallPacket));
    fleet_.pause(milliseconds(1));
  }
  const auto taken = operators.answer();
  ASSERT_TRUE(taken && taken->first == kOk);
  expect_in_force(2);
}

TEST_F(OperatorConnectionsTest, AChangeThatEndsInsideItsBodyIsNotTaken) {
  const std::string whole = put(fleet_.configuration(2));
  const std::string chunked = head_of("POST", "/Config.Put", "Transfer-Encoding: chunked\r\n");
  const std::string body = fleet_.configuration(2);
  const std::string chunks = in_chunks(body, body.size());
  const std::vector<std::string> cut_short = {
      whole.substr(0, whole.size() - 1),
      put(body.substr(0, body.size() - 1)),
      chunked + chunks.substr(0, chunks.size() - 5),
  };
  for (std::size_t number = 0; number < cut_short.size(); ++number) {
    OperatorConnection operators(fleet_, number);
    operators.send(cut_short[number]);
    const auto answer = number == 1 ? operators.answer() : std::nullopt;
    EXPECT_TRUE(!answer || answer->first == 400) << number;
    operators.close();
    expect_in_force(1);
  }
}

TEST_F(OperatorConnectionsTest, AChangeWhoseCallerIsGoneIsAcknowledgedWhenItIsSentAgain) {
  for (std::uint64_t version = 2; version < 12; ++version) {
    const std::string body = fleet_.configuration(version);
    {
      OperatorConnection gone(fleet_, version % kControls);
      gone.send(put(body));
    }
    OperatorConnection operators(fleet_, (version + 1) % kControls);
    operators.send(put(body));
    const auto taken = operators.answer();
    ASSERT_TRUE(taken && taken->first == kOk) << version;
    expect_in_force(version);
  }
}

TEST_F(OperatorConnectionsTest, AnOperatorThatWaitsToBeAskedForTheBodyIsAnsweredInTime) {
  OperatorConnection operators(fleet_, 0);
  const std::string bytes = put(fleet_.configuration(2), "Expect: 100-continue\r\n");
  const std::size_t body = bytes.find(kEndOfHead) + kEndOfHead.size();
  operators.send(bytes.substr(0, body));
  const auto asked = operators.answer();
  ASSERT_TRUE(asked);
  EXPECT_EQ(asked->first, 100U);
  operators.send(bytes.substr(body));
  const auto taken = operators.answer();
  ASSERT_TRUE(taken && taken->first == kOk);
}

TEST_F(OperatorConnectionsTest, AConnectionThatIsUsedWhileItsReplicaStopsGetsWholeAnswersUntilItEnds) {
  for (std::size_t control = 0; control < fleet_.controls(); ++control) {
    const std::uint64_t version = control + 2;
    OperatorConnection operators(fleet_, control);
    operators.send(get());
    ASSERT_TRUE(operators.answer());
    fleet_.control(control).signal(SIGTERM);
    while (!operators.has_ended()) {
      operators.send(put(fleet_.configuration(version)));
      const auto answer = operators.answer();
      ASSERT_TRUE(answer || operators.has_ended()) << "control " << control;
      EXPECT_TRUE(!answer || answer->first == kOk || answer->first == 408 || answer->first == 503)
          << answer->first;
    }
    EXPECT_FALSE(operators.ended_inside_an_answer());
    ASSERT_TRUE(fleet_.wait([&] { return !fleet_.control(control).running(); }));
    OperatorConnection others(fleet_, (control + 1) % kControls);
    others.send(put(fleet_.configuration(version)));
    const auto taken = others.answer();
    EXPECT_TRUE(taken && taken->first == kOk);
    fleet_.restart_control(control);
    expect_in_force(version);
  }
}

}  // namespace
}  // namespace pipitpond::platform
