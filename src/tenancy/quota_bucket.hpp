// A token bucket whose tokens may be given back: one token lets one operation run. No input or output.
//
// A token that was taken and not used leaves the bucket as if it had never been taken: the bucket keeps the
// tokens given within kGiveBackTime, and plays what happened since once more without the one that comes back.
// Fewer tokens taken never leave less in a bucket, so that every other one could have been given just the
// same. What was given and not returned is therefore always what a bucket without returns could give: at most
// capacity + rate x window in any window. Adding one token instead would promise less: a bucket that was full
// meanwhile would give the token that it had no room for.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>

#include "core/clock.hpp"

namespace pipitpond::tenancy {

/// How fast a bucket fills, and how far.
struct BucketLimits {
  double rate_per_s = 0;
  double capacity = 0;  ///< At least 1, or nothing would ever run.

  bool operator==(const BucketLimits&) const = default;
};

/// Names a token that was given. Grows with time, also from one life of a daemon to the next.
using TokenNumber = std::uint64_t;

/// A token can be given back for this long: a statement that finds no connection waits for two fifths of its
/// time, which routes usually set to a second, and the next question to the home takes it along.
inline constexpr core::Duration kGiveBackTime = std::chrono::milliseconds(600);
/// Tokens that a bucket remembers; of more within that time the oldest can't be given back. Bounds the memory
/// and the work of a return.
inline constexpr std::size_t kMostReturnable = 256;

/// Gives at most `begun with + rate x time` tokens, and at most `capacity + rate x window` in any window,
/// those that came back in time not counted.
class QuotaBucket {
 public:
  QuotaBucket(core::Instant now, const BucketLimits& limits, double tokens)
      : limits_(limits), current_{std::min(tokens, limits.capacity), now}, before_(current_) {}

  /// Takes other limits; what is over the new capacity is lost, and what was given can't be given back.
  void set_limits(core::Instant now, const BucketLimits& limits) {
    if (limits == limits_) {
      return;
    }
    fill(current_, now);
    limits_ = limits;
    current_.tokens = std::min(current_.tokens, limits_.capacity);
    before_ = current_;
    returnable_.clear();
  }

  /// The token's number; nothing: none is left, but for the `reserved` ones.
  std::optional<TokenNumber> take(core::Instant now, double reserved = 0) {
    fill(current_, now);
    if (current_.tokens < 1 + reserved) {
      return std::nullopt;
    }
    current_.tokens -= 1;
    const auto by_time = static_cast<TokenNumber>(now.time_since_epoch().count());
    last_number_ = std::max(last_number_ + 1, by_time);
    returnable_.push_back(Given{current_.at, last_number_});
    forget_old(now);
    return last_number_;
  }

  /// A token was not used. False: it came too late, is unknown, or came back before.
  bool give_back(core::Instant now, TokenNumber number) {
    forget_old(now);
    const auto found = std::find_if(returnable_.begin(), returnable_.end(),
                                    [number](const Given& given) { return given.number == number; });
    if (found == returnable_.end()) {
      return false;
    }
    returnable_.erase(found);
    const core::Instant until = std::max(now, current_.at);
    current_ = before_;
    for (const Given& given : returnable_) {
      fill(current_, given.at);
      current_.tokens -= 1;
    }
    fill(current_, until);
    return true;
  }

  /// When there will be a token if nobody takes one before; an hour when none will come.
  [[nodiscard]] core::Duration time_to_next() const {
    constexpr double kNever = 3600;
    const double seconds = limits_.rate_per_s > 0 ? (1 - current_.tokens) / limits_.rate_per_s : kNever;
    return std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(std::clamp(seconds, 0.0, kNever)));
  }

  [[nodiscard]] double tokens() const { return current_.tokens; }
  [[nodiscard]] const BucketLimits& limits() const { return limits_; }

 private:
  struct State {
    double tokens = 0;
    core::Instant at{};
  };
  struct Given {
    core::Instant at;
    TokenNumber number = 0;
  };

  void fill(State& state, core::Instant now) const {
    if (now <= state.at) {
      return;
    }
    const double seconds = std::chrono::duration<double>(now - state.at).count();
    state.tokens = std::min(limits_.capacity, state.tokens + seconds * limits_.rate_per_s);
    state.at = now;
  }

  void forget_old(core::Instant now) {
    while (!returnable_.empty() &&
           (returnable_.size() > kMostReturnable || now - returnable_.front().at > kGiveBackTime)) {
      fill(before_, returnable_.front().at);
      before_.tokens -= 1;
      returnable_.pop_front();
    }
  }

  BucketLimits limits_;
  State current_;
  State before_;  ///< Before the first of the tokens that can be given back.
  std::deque<Given> returnable_;
  TokenNumber last_number_ = 0;
};

}  // namespace pipitpond::tenancy
