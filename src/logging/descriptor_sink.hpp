// A sink of spdlog that never blocks: what the reader of the descriptor does not take in time is left out and
// counted.
#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "core/clock.hpp"

namespace pipitpond::logging {

/// Lines that each part may write in a second; further ones are counted instead.
inline constexpr std::uint32_t kLinesPerSecond = 200;

/// Writes whole lines to a descriptor.
class DescriptorSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  explicit DescriptorSink(int descriptor) : descriptor_(descriptor) {}

  /// From now on lines go there.
  void set_descriptor(int descriptor);
  /// Lines left out since the start, because a part wrote too many or because nobody read.
  [[nodiscard]] std::uint64_t left_out() const { return left_out_; }

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

 private:
  /// One part's lines in the current second.
  struct Budget {
    core::Instant second;
    std::uint32_t written = 0;
    std::uint64_t left_out = 0;
  };

  bool within_budget(const std::string& part);
  void tell_of_left_out(const std::string& part, Budget& budget);
  bool write(const char* bytes, std::size_t size);

  int descriptor_;
  std::uint64_t left_out_ = 0;
  std::map<std::string, Budget> budgets_;
};

}  // namespace pipitpond::logging
