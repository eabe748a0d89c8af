#include "logging/descriptor_sink.hpp"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace pipitpond::logging {
namespace {

constexpr core::Duration kSecond = std::chrono::seconds(1);

}  // namespace

void DescriptorSink::set_descriptor(int descriptor) {
  const std::lock_guard<std::mutex> lock(mutex_);
  descriptor_ = descriptor;
}

void DescriptorSink::sink_it_(const spdlog::details::log_msg& message) {
  const std::string part(message.logger_name.data(), message.logger_name.size());
  const bool severe = message.level >= spdlog::level::err;
  if (!within_budget(part) && !severe) {
    ++left_out_;
    return;
  }
  spdlog::memory_buf_t line;
  formatter_->format(message, line);
  if (!write(line.data(), line.size())) {
    ++left_out_;
    ++budgets_[part].left_out;
  }
}

bool DescriptorSink::within_budget(const std::string& part) {
  Budget& budget = budgets_[part];
  const core::Instant now = core::BootClock::now();
  if (now - budget.second >= kSecond) {
    tell_of_left_out(part, budget);
    budget = Budget{now, 0, budget.left_out};
  }
  if (budget.written >= kLinesPerSecond) {
    ++budget.left_out;
    return false;
  }
  ++budget.written;
  return true;
}

void DescriptorSink::tell_of_left_out(const std::string& part, Budget& budget) {
  if (budget.left_out == 0) {
    return;
  }
  const std::string text = fmt::format("event=lines_left_out part={} count={}", part, budget.left_out);
  spdlog::memory_buf_t line;
  formatter_->format(spdlog::details::log_msg("logging", spdlog::level::warn, text), line);
  if (write(line.data(), line.size())) {
    budget.left_out = 0;
  }
}

/// A pipe that polls as writable takes PIPE_BUF bytes without blocking; a longer line might block, so it is
/// cut.
bool DescriptorSink::write(const char* bytes, std::size_t size) {
  constexpr std::size_t kUnblocked = 4096;
  pollfd ready{descriptor_, POLLOUT, 0};
  if (::poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
    return false;
  }
  return ::write(descriptor_, bytes, std::min(size, kUnblocked)) > 0;
}

}  // namespace pipitpond::logging
