#include "pooling/opening_choice.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "support/virtual_time.hpp"

namespace pipitpond::pooling {
namespace {

using std::chrono::milliseconds;

TEST(OpeningChoiceTest, OpensAtOnceWhenNoConnectionComesBack) {
  EXPECT_TRUE(should_open({0, 0, 0, false, milliseconds(9), milliseconds(12)}));
}

TEST(OpeningChoiceTest, WaitsForAConnectionThatIsFreeBeforeTwoOpeningsEnd) {
  EXPECT_FALSE(should_open({0, 1, 0, false, milliseconds(9), milliseconds(12)}));
  EXPECT_FALSE(should_open({1, 1, 0, false, milliseconds(9), milliseconds(12)}));
  EXPECT_TRUE(should_open({2, 1, 0, false, milliseconds(9), milliseconds(12)}));
  EXPECT_FALSE(should_open({2, 2, 0, false, milliseconds(9), milliseconds(12)}));
  EXPECT_TRUE(should_open({0, 1, 0, false, milliseconds(25), milliseconds(12)})) << "statements are slow";
}

TEST(OpeningChoiceTest, WaitsForTheSecondUseOfAConnectionThatIsBeingOpened) {
  EXPECT_FALSE(should_open({0, 0, 1, false, milliseconds(9), milliseconds(12)})) << "12 + 9 ms";
  EXPECT_TRUE(should_open({1, 0, 1, false, milliseconds(9), milliseconds(12)})) << "12 + 18 ms";
}

TEST(OpeningChoiceTest, WaitsLongerWhereAnotherTenantLosesItsConnection) {
  EXPECT_FALSE(should_open({4, 1, 0, true, milliseconds(9), milliseconds(12)})) << "45 ms";
  EXPECT_TRUE(should_open({5, 1, 0, true, milliseconds(9), milliseconds(12)})) << "54 ms";
}

TEST(OpeningChoiceTest, AStatementThatTakesMuchLongerThanAverageIsOverdue) {
  const core::Instant since{};
  EXPECT_FALSE(is_overdue(since + milliseconds(27), since, milliseconds(9)));
  EXPECT_TRUE(is_overdue(since + milliseconds(28), since, milliseconds(9)));
}

// --- Under load

constexpr int kSlots = 4;
constexpr std::size_t kMostConnections = 14;
constexpr int kTenants = 12;
constexpr core::Duration kStatement = milliseconds(9);
constexpr core::Duration kOpening = milliseconds(12);
constexpr int kLatencyAverageDivisor = 8;  ///< Inverse weight of the newest value in averages.

enum class Policy { kOpenForEachWaiter, kOneConnectionPerTenant, kShouldOpen };

struct Outcome {
  std::size_t openings = 0;
  std::vector<core::Duration> latencies;  ///< Sorted.

  [[nodiscard]] core::Duration quantile(double part) const {
    return latencies.at(static_cast<std::size_t>(part * static_cast<double>(latencies.size() - 1)));
  }
  [[nodiscard]] core::Duration mean() const {
    core::Duration sum{};
    for (const core::Duration latency : latencies) {
      sum += latency;
    }
    return sum / static_cast<std::int64_t>(latencies.size());
  }
};

/// Discrete-event simulation of one owner of a database and the database's slots, without a network.
class Play {
 public:
  explicit Play(Policy policy) : policy_(policy) {}

  void arrive_at(core::Instant at, int tenant) {
    time_.at(at, [this, tenant] {
      waiting_.push_back({tenant, time_.now()});
      serve();
    });
  }

  Outcome run() {
    time_.run();
    std::sort(outcome_.latencies.begin(), outcome_.latencies.end());
    return outcome_;
  }

 private:
  struct Waiting {
    int tenant = 0;
    core::Instant arrived;
  };
  struct Job {
    core::Duration length;
    std::function<void()> done;
  };

  /// Queues a job at the database, which runs it when a slot is free.
  void submit(Job job) {
    jobs_.push_back(std::move(job));
    start_jobs();
  }

  void start_jobs() {
    while (busy_slots_ < kSlots && !jobs_.empty()) {
      Job job = std::move(jobs_.front());
      jobs_.pop_front();
      ++busy_slots_;
      time_.at(time_.now() + job.length, [this, done = std::move(job.done)] {
        --busy_slots_;
        done();
        start_jobs();
      });
    }
  }

  void serve() {
    for (auto waiter = waiting_.begin(); waiter != waiting_.end();) {
      const auto idle = std::find(idle_.rbegin(), idle_.rend(), waiter->tenant);
      if (idle == idle_.rend()) {
        ++waiter;
        continue;
      }
      idle_.erase(std::prev(idle.base()));
      run_statement(*waiter);
      waiter = waiting_.erase(waiter);
    }
    open_where_wanted();
  }

  void run_statement(Waiting waiter) {
    ++in_use_[waiter.tenant];
    submit({kStatement, [this, waiter, sent = time_.now()] {
              average_statement_time_ +=
                  (time_.now() - sent - average_statement_time_) / kLatencyAverageDivisor;
              outcome_.latencies.push_back(time_.now() - waiter.arrived);
              --in_use_[waiter.tenant];
              idle_.push_back(waiter.tenant);
              serve();
            }});
  }

  void open_where_wanted() {
    std::map<int, std::size_t> openings = opening_;
    std::map<int, std::size_t> before;
    for (const Waiting& waiter : waiting_) {
      if (openings[waiter.tenant] > 0) {
        --openings[waiter.tenant];
        continue;
      }
      if (wants_opening(waiter.tenant, before[waiter.tenant]) && make_room()) {
        open(waiter.tenant);
      } else {
        ++before[waiter.tenant];
      }
    }
  }

  bool wants_opening(int tenant, std::size_t waiting_before) {
    switch (policy_) {
      case Policy::kOpenForEachWaiter:
        return true;
      case Policy::kOneConnectionPerTenant:
        return in_use_[tenant] + opening_[tenant] == 0;
      case Policy::kShouldOpen:
        return should_open({waiting_before, in_use_[tenant], opening_[tenant], held() >= kMostConnections,
                            average_statement_time_, average_opening_time_});
    }
    return false;
  }

  std::size_t held() {
    std::size_t count = idle_.size();
    for (int tenant = 0; tenant < kTenants; ++tenant) {
      count += in_use_[tenant] + opening_[tenant];
    }
    return count;
  }

  bool make_room() {
    if (held() < kMostConnections) {
      return true;
    }
    if (idle_.empty()) {
      return false;
    }
    idle_.pop_front();
    return true;
  }

  void open(int tenant) {
    ++opening_[tenant];
    ++outcome_.openings;
    submit({kOpening, [this, tenant, begun = time_.now()] {
              average_opening_time_ += (time_.now() - begun - average_opening_time_) / kLatencyAverageDivisor;
              --opening_[tenant];
              idle_.push_back(tenant);
              serve();
            }});
  }

  Policy policy_;
  testing::VirtualTime time_;
  std::deque<Waiting> waiting_;
  std::deque<int> idle_;  ///< Tenants of the idle connections; the most recently used one is at the back.
  std::map<int, std::size_t> in_use_;
  std::map<int, std::size_t> opening_;
  std::deque<Job> jobs_;
  int busy_slots_ = 0;
  /// Includes the wait for a slot, as in the pool's own measurement.
  core::Duration average_statement_time_ = kStatement;
  core::Duration average_opening_time_ = kOpening;
  Outcome outcome_;
};

/// Simulates 5 s of bursts of 1 to `largest` statements, 2 ms apart, each burst of one tenant.
Outcome play_bursts(Policy policy, std::uint32_t seed, int bursts_per_second, int largest) {
  constexpr int kSeconds = 5;
  std::mt19937 random(seed);
  std::uniform_int_distribution<int> start(0, kSeconds * 1000);
  std::uniform_int_distribution<int> tenant(0, kTenants - 1);
  std::uniform_int_distribution<int> size(1, largest);
  Play play(policy);
  for (int burst = 0; burst < bursts_per_second * kSeconds; ++burst) {
    const core::Instant begins = core::Instant{} + milliseconds(start(random));
    const int whose = tenant(random);
    const int statements = size(random);
    for (int number = 0; number < statements; ++number) {
      play.arrive_at(begins + milliseconds(2 * number), whose);
    }
  }
  return play.run();
}

Outcome play_seeds(Policy policy, int bursts_per_second, int largest) {
  constexpr std::uint32_t kSeeds = 20;
  Outcome all;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome one = play_bursts(policy, seed, bursts_per_second, largest);
    all.openings += one.openings;
    all.latencies.insert(all.latencies.end(), one.latencies.begin(), one.latencies.end());
  }
  std::sort(all.latencies.begin(), all.latencies.end());
  return all;
}

TEST(OpeningChoiceLoadTest, OpensLessThanForEachWaiterAndAnswersSooner) {
  for (const int largest : {3, 6, 12}) {
    const Outcome each = play_seeds(Policy::kOpenForEachWaiter, 20, largest);
    const Outcome choice = play_seeds(Policy::kShouldOpen, 20, largest);
    EXPECT_LT(choice.openings * 3, each.openings) << "bursts of up to " << largest;
    EXPECT_LT(choice.mean(), each.mean()) << "bursts of up to " << largest;
    EXPECT_LE(choice.quantile(0.99), each.quantile(0.99)) << "bursts of up to " << largest;
  }
}

TEST(OpeningChoiceLoadTest, AnswersSoonerThanOneConnectionForEachTenant) {
  for (const int largest : {3, 6, 12}) {
    const Outcome never = play_seeds(Policy::kOneConnectionPerTenant, 20, largest);
    const Outcome choice = play_seeds(Policy::kShouldOpen, 20, largest);
    EXPECT_LT(choice.mean(), never.mean()) << "bursts of up to " << largest;
    EXPECT_LT(choice.quantile(0.99), never.quantile(0.99)) << "bursts of up to " << largest;
  }
}

TEST(OpeningChoiceLoadTest, SlotsThatAreNearlyFullGoToStatements) {
  const Outcome each = play_seeds(Policy::kOpenForEachWaiter, 60, 6);
  const Outcome choice = play_seeds(Policy::kShouldOpen, 60, 6);
  EXPECT_LT(choice.openings * 3, each.openings);
  EXPECT_LT(choice.mean() * 2, each.mean());
  EXPECT_LT(choice.quantile(0.99) * 3 / 2, each.quantile(0.99));
}

}  // namespace
}  // namespace pipitpond::pooling
