#include "logging/descriptor_sink.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <spdlog/logger.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <memory>
#include <string>

#include "logging/logging.hpp"

namespace pipitpond::logging {
namespace {

/// A logger into a pipe that is read only when a test does.
class DescriptorSinkTest : public ::testing::Test {
 protected:
  void SetUp() override {
    ASSERT_EQ(::pipe(ends_.data()), 0);
    ASSERT_EQ(::fcntl(ends_[0], F_SETFL, O_NONBLOCK), 0);
    sink_ = std::make_shared<DescriptorSink>(ends_[1]);
    log_ = std::make_unique<spdlog::logger>("part", sink_);
  }

  void TearDown() override {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }

  std::string read_all() {
    std::string text;
    std::array<char, 4096> bytes{};
    ssize_t count = 0;
    while ((count = ::read(ends_[0], bytes.data(), bytes.size())) > 0) {
      text.append(bytes.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  std::array<int, 2> ends_{};
  std::shared_ptr<DescriptorSink> sink_;
  std::unique_ptr<spdlog::logger> log_;
};

TEST_F(DescriptorSinkTest, LinesAreWritten) {
  log_->info("event=one");
  EXPECT_NE(read_all().find("event=one"), std::string::npos);
  EXPECT_EQ(sink_->left_out(), 0U);
}

TEST_F(DescriptorSinkTest, AFloodIsBoundedAndCounted) {
  for (int number = 0; number < 5000; ++number) {
    log_->info("event=flood number={}", number);
  }
  EXPECT_GE(sink_->left_out(), 4000U);
}

TEST_F(DescriptorSinkTest, AReaderThatDoesNotReadBlocksNobody) {
  const std::string long_text(3000, 'x');
  const auto begun = std::chrono::steady_clock::now();
  for (int number = 0; number < 2000; ++number) {
    log_->error("{}", long_text);  // Errors are written beyond the budget.
  }
  EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::seconds(20));
  EXPECT_GT(sink_->left_out(), 1000U);
}

TEST(FieldTest, HostileValuesForgeNeitherPairsNorLines) {
  EXPECT_EQ(field("q1"), "q1");
  EXPECT_EQ(field(""), "-");
  EXPECT_EQ(field("a b=c\nevent=outcome"), "a_b_c_event_outcome");
  EXPECT_EQ(field(std::string("\x1b[31m\0", 6)), "_[31m_");
}

}  // namespace
}  // namespace pipitpond::logging
