// How often a tenant's homes are asked and what they grant when it is far over its limit: three ways to ask,
// played side by side with daemons, callers that come back, and the time that messages take.
#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "tenancy/quota_bucket.hpp"
#include "tenancy/quota_home.hpp"
#include "tenancy/quota_turns.hpp"

namespace pipitpond::tenancy {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kHomes = 3;
constexpr std::size_t kDaemons = 72;
constexpr milliseconds kWay{1};
constexpr milliseconds kCallersTime{400};
constexpr int kSeconds = 10;

enum class Asking : std::uint8_t {
  kEach,      ///< A question for each operation; told when the bucket has a token.
  kInTurns,   ///< Told a turn by the backlog of refused questions.
  kTogether,  ///< In turns, and callers that wait while a question is under way share the next one.
};

struct Caller {
  core::Instant gives_up;
  core::Duration told = core::Duration::max();
};

struct Result {
  double questions_per_s = 0;
  double granted_per_s = 0;
};

class Flood {
 public:
  Flood(Asking asking, const protocol::TenantQuota& quota) : asking_(asking) {
    const HomePart part = part_of_home(quota, QuotaLimits{}, kHomes);
    homes_.assign(kHomes, Home{QuotaBucket(now_, part.limits, part.limits.capacity), {}});
  }

  Result play(double callers_per_s) {
    std::exponential_distribution<double> gap(callers_per_s);
    const core::Instant end = now_ + std::chrono::seconds(kSeconds);
    for (core::Instant at = now_; at < end; at += microseconds(static_cast<int>(gap(random_) * 1e6))) {
      events_.emplace(at, [this, at] { arrive(Caller{at + kCallersTime}); });
    }
    while (!events_.empty() && events_.begin()->first < end) {
      now_ = events_.begin()->first;
      const std::function<void()> event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
    return Result{static_cast<double>(questions_) / kSeconds, static_cast<double>(granted_) / kSeconds};
  }

 private:
  struct Home {
    QuotaBucket bucket;
    QuotaTurns turns;
  };
  /// What a daemon knows of a home.
  struct Known {
    core::Instant empty_until{};
    bool asking = false;
    std::vector<Caller> gathering;
  };

  void after(core::Duration duration, std::function<void()> event) {
    events_.emplace(now_ + duration, std::move(event));
  }

  void arrive(Caller caller) {
    caller.told = core::Duration::max();
    seek(caller, random_() % kDaemons, 0);
  }

  /// Asks the daemon's homes from the `tried`th on.
  void seek(Caller caller, std::size_t daemon, std::size_t tried) {
    for (; tried < kHomes; ++tried) {
      Known& known = known_[daemon][(daemon + tried) % kHomes];
      if (now_ < known.empty_until) {
        caller.told = std::min(caller.told, known.empty_until - now_);
        continue;
      }
      if (known.asking) {
        known.gathering.push_back(caller);
      } else {
        ask(daemon, tried, {caller});
      }
      return;
    }
    const core::Duration told = std::max<core::Duration>(caller.told, milliseconds(1));
    if (now_ + told < caller.gives_up) {
      after(told, [this, caller] { arrive(caller); });
    }
  }

  void ask(std::size_t daemon, std::size_t tried, std::vector<Caller> callers) {
    const std::size_t home = (daemon + tried) % kHomes;
    known_[daemon][home].asking = asking_ == Asking::kTogether;
    after(kWay, [this, daemon, tried, home, callers = std::move(callers)] {
      ++questions_;
      QuotaBucket& bucket = homes_[home].bucket;
      std::size_t granted = 0;
      while (granted < callers.size() && bucket.take(now_)) {
        ++granted;
      }
      core::Duration retry_in{};
      if (granted < callers.size()) {
        const auto refused = static_cast<std::uint32_t>(callers.size() - granted);
        retry_in = asking_ == Asking::kEach ? bucket.time_to_next()
                                            : homes_[home].turns.refuse(now_, bucket.time_to_next(), refused,
                                                                        bucket.limits().rate_per_s);
      }
      after(kWay, [this, daemon, tried, callers, granted, retry_in] {
        take_answer(daemon, tried, callers, granted, retry_in);
      });
    });
  }

  void take_answer(std::size_t daemon, std::size_t tried, const std::vector<Caller>& callers,
                   std::size_t granted, core::Duration retry_in) {
    Known& known = known_[daemon][(daemon + tried) % kHomes];
    granted_ += granted;
    known.asking = false;
    if (retry_in > core::Duration::zero()) {
      known.empty_until = now_ + retry_in;
    }
    std::vector<Caller> refused(callers.begin() + static_cast<std::ptrdiff_t>(granted), callers.end());
    std::vector<Caller> gathered = std::exchange(known.gathering, {});
    if (!gathered.empty() && now_ >= known.empty_until) {
      ask(daemon, tried, std::move(gathered));
    } else {
      refused.insert(refused.end(), gathered.begin(), gathered.end());
    }
    for (Caller& caller : refused) {
      caller.told = std::min(caller.told, retry_in);
      seek(caller, daemon, tried + 1);
    }
  }

  Asking asking_;
  std::mt19937_64 random_{7};
  core::Instant now_{std::chrono::hours(1)};
  std::multimap<core::Instant, std::function<void()>> events_;
  std::vector<Home> homes_;
  std::array<std::array<Known, kHomes>, kDaemons> known_;
  std::uint64_t questions_ = 0;
  std::uint64_t granted_ = 0;
};

TEST(QuotaQuestions, TurnsAndSharedQuestionsAskFarLessAndGrantAsMuch) {
  const double window = std::chrono::duration<double>(QuotaLimits{}.window).count();
  for (const protocol::TenantQuota& quota :
       {protocol::TenantQuota{580, 580}, protocol::TenantQuota{30, 30}}) {
    const double limit = quota.rate_per_s + quota.burst / window;
    const double asked = 3.3 * quota.rate_per_s;
    const Result each = Flood(Asking::kEach, quota).play(asked);
    const Result turns = Flood(Asking::kInTurns, quota).play(asked);
    const Result together = Flood(Asking::kTogether, quota).play(asked);
    std::printf(
        "limit %u/s, asked %.0f/s: questions and grants a second: each %.0f %.1f, in turns %.0f %.1f, "
        "together %.0f %.1f\n",
        quota.rate_per_s, asked, each.questions_per_s, each.granted_per_s, turns.questions_per_s,
        turns.granted_per_s, together.questions_per_s, together.granted_per_s);
    EXPECT_LT(together.questions_per_s, each.questions_per_s / 2);
    EXPECT_GE(together.granted_per_s, 0.97 * limit);
  }
}

TEST(QuotaTurns, EachIsToldAMomentOfItsOwn) {
  const core::Instant now{std::chrono::hours(1)};
  QuotaTurns turns;
  EXPECT_EQ(turns.refuse(now, milliseconds(1), 1, 100), kShortestTurn);
  EXPECT_EQ(turns.refuse(now, milliseconds(1), 1, 100), kShortestTurn + milliseconds(10));
  EXPECT_EQ(turns.refuse(now, milliseconds(1), 3, 100), kShortestTurn + milliseconds(40));
}

TEST(QuotaTurns, NobodyIsPutOffForLongerThanTheBucketTakesAndTheBound) {
  const core::Instant now{std::chrono::hours(1)};
  QuotaTurns turns;
  for (int question = 0; question < 1000; ++question) {
    EXPECT_LE(turns.refuse(now, milliseconds(300), 64, 5), milliseconds(300) + kLongestTurn);
  }
  EXPECT_EQ(turns.refuse(now + std::chrono::seconds(1), milliseconds(20), 1, 5), milliseconds(20))
      << "forgotten with time";
}

}  // namespace
}  // namespace pipitpond::tenancy
