#include "pooling/statement_queue.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace pipitpond::pooling {
namespace {

using std::chrono::milliseconds;

constexpr core::Duration kAverageTime = milliseconds(9);
constexpr std::size_t kMaxWaiting = 100;

bool any_entry(const QueueEntry&) {
  return true;
}

QueueEntry entry(WaiterNumber number, std::uint32_t priority = 1, const std::string& tenant = "") {
  QueueEntry made;
  made.number = number;
  made.priority = priority;
  made.tenant = core::TenantName(tenant);
  return made;
}

TEST(StatementQueueTest, OrdersByPriorityThenByArrival) {
  StatementQueue queue;
  const core::Instant now{};
  queue.enqueue(now, entry(1, 2), kMaxWaiting, kAverageTime);
  queue.enqueue(now, entry(2, 1), kMaxWaiting, kAverageTime);
  queue.enqueue(now, entry(3, 1), kMaxWaiting, kAverageTime);
  EXPECT_EQ(queue.in_order(now, kAverageTime).front().number, 2U);
  EXPECT_EQ(queue.in_order(now, kAverageTime).back().number, 1U);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 2U);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 3U);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 1U);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), std::nullopt);
}

// Guards against a statement that starves because it loses its place when it moves to another owner's queue.
// Proxies without connections of their own forward statements, and leave one owner's queue for another's
// after 30 to 120 ms. When each move put the statement at the end of the queue, it was never served where the
// wait was longer than that, while statements of the owners' own callers kept their places: some proxies
// refused all writes of a new caller for 7.5 s, others served its first one within 268 ms.
TEST(StatementQueueTest, AStatementThatHasWaitedElsewhereGoesBeforeThoseThatCameLater) {
  StatementQueue queue;
  const core::Instant now{milliseconds(500)};
  QueueEntry own = entry(1);
  own.since = now - milliseconds(100);
  QueueEntry from_another_line = entry(2);
  from_another_line.since = now - milliseconds(300);
  QueueEntry newcomer = entry(3);
  newcomer.since = now;
  queue.enqueue(now, own, kMaxWaiting, kAverageTime);
  queue.enqueue(now, from_another_line, kMaxWaiting, kAverageTime);
  queue.enqueue(now, newcomer, kMaxWaiting, kAverageTime);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 2U);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 1U);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 3U);
}

TEST(StatementQueueTest, AFullQueueDropsTheStatementThatHasWaitedLeast) {
  StatementQueue queue;
  const core::Instant now{milliseconds(500)};
  QueueEntry own = entry(1);
  own.since = now - milliseconds(100);
  QueueEntry from_another_line = entry(2);
  from_another_line.since = now - milliseconds(300);
  queue.enqueue(now, own, 1, kAverageTime);
  const EnqueueOutcome outcome = queue.enqueue(now, from_another_line, 1, kAverageTime);
  EXPECT_TRUE(outcome.accepted);
  EXPECT_EQ(outcome.displaced, 1U);
}

TEST(StatementQueueTest, LateStatementsGoLast) {
  StatementQueue queue;
  const core::Instant now{};
  QueueEntry late = entry(1, 0);
  late.goal = now + milliseconds(5);
  queue.enqueue(now, late, kMaxWaiting, kAverageTime);
  queue.enqueue(now, entry(2, 2), kMaxWaiting, kAverageTime);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 2U);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 1U);
}

TEST(StatementQueueTest, SkipsStatementsThatCannotBeServed) {
  StatementQueue queue;
  const core::Instant now{};
  queue.enqueue(now, entry(1), kMaxWaiting, kAverageTime);
  queue.enqueue(now, entry(2), kMaxWaiting, kAverageTime);
  EXPECT_EQ(queue.take_next(now, kAverageTime, [](const QueueEntry& one) { return one.number == 2; }), 2U);
  EXPECT_EQ(queue.size(), 1U);
}

TEST(StatementQueueTest, TenantsTakeTurns) {
  StatementQueue queue;
  const core::Instant now{};
  for (const WaiterNumber number : {1U, 2U, 3U}) {
    queue.enqueue(now, entry(number, 1, "a"), kMaxWaiting, kAverageTime);
  }
  queue.enqueue(now, entry(4, 1, "b"), kMaxWaiting, kAverageTime);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 1U);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 4U);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 2U);
}

TEST(StatementQueueTest, SlowStatementsAreChargedForTheTimeTheyTook) {
  StatementQueue queue;
  const core::Instant now{};
  queue.note_started(core::TenantName("slow"), kAverageTime);
  queue.note_started(core::TenantName("quick"), kAverageTime);
  queue.note_used(core::TenantName("slow"), milliseconds(100));
  queue.enqueue(now, entry(1, 1, "slow"), kMaxWaiting, kAverageTime);
  queue.enqueue(now, entry(2, 1, "quick"), kMaxWaiting, kAverageTime);
  queue.enqueue(now, entry(3, 1, "quick"), kMaxWaiting, kAverageTime);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 2U);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 3U);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 1U);
}

TEST(StatementQueueTest, UnusedTimeOfATenantIsNotSavedUp) {
  StatementQueue queue;
  const core::Instant now{};
  for (int started = 0; started < 100; ++started) {
    queue.note_started(core::TenantName("busy"), kAverageTime);
  }
  for (const WaiterNumber number : {1U, 2U, 3U}) {
    queue.enqueue(now, entry(number, 1, "new"), kMaxWaiting, kAverageTime);
  }
  queue.enqueue(now, entry(4, 1, "busy"), kMaxWaiting, kAverageTime);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 1U);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 2U);
  EXPECT_EQ(queue.take_next(now, kAverageTime, any_entry), 4U);
}

TEST(StatementQueueTest, AFullQueueDropsTheLastStatementInOrder) {
  StatementQueue queue;
  const core::Instant now{};
  queue.enqueue(now, entry(1, 1), 2, kAverageTime);
  queue.enqueue(now, entry(2, 2), 2, kAverageTime);
  const EnqueueOutcome urgent = queue.enqueue(now, entry(3, 0), 2, kAverageTime);
  EXPECT_TRUE(urgent.accepted);
  EXPECT_EQ(urgent.displaced, 2U);
  const EnqueueOutcome cheap = queue.enqueue(now, entry(4, 2), 2, kAverageTime);
  EXPECT_FALSE(cheap.accepted);
  EXPECT_EQ(cheap.displaced, std::nullopt);
  EXPECT_EQ(queue.size(), 2U);
}

TEST(StatementQueueTest, TenantsThatUsedNoMoreThanOthersAreForgotten) {
  StatementQueue queue;
  for (int number = 0; number < 1000; ++number) {
    queue.note_started(core::TenantName("t" + std::to_string(number)), kAverageTime);
    queue.note_started(core::TenantName("busy"), kAverageTime);
  }
  EXPECT_LE(queue.tenants(), 3U);
}

// --- Under load

/// A simulated request and its outcome.
struct Ask {
  core::Instant at;
  std::uint32_t priority = 0;
  std::string tenant;
  core::Duration goal{};
  core::Duration latency = core::Duration::max();  ///< Stays at max() when the request is displaced.

  [[nodiscard]] bool in_time() const { return latency <= goal; }
};

/// Adds requests like `like` at random times within one second; `rate` is their number.
void add_asks(std::vector<Ask>& asks, std::mt19937& random, int rate, const Ask& like) {
  std::uniform_int_distribution<int> micros(0, 1'000'000);
  for (int number = 0; number < rate; ++number) {
    Ask ask = like;
    ask.at = core::Instant{} + core::Duration(micros(random));
    asks.push_back(ask);
  }
}

/// Simulates the requests on `slots`, of which `lost` are gone after half a second.
void play(std::vector<Ask>& asks, std::mt19937& random, std::size_t slots, std::size_t lost = 0) {
  std::sort(asks.begin(), asks.end(), [](const Ask& left, const Ask& right) { return left.at < right.at; });
  std::uniform_int_distribution<int> micros(5'000, 13'000);
  std::multimap<core::Instant, std::pair<std::string, core::Duration>> running;
  StatementQueue queue;
  std::size_t next = 0;
  while (next < asks.size() || !running.empty()) {
    const bool arrives = next < asks.size() && (running.empty() || asks[next].at <= running.begin()->first);
    const core::Instant now = arrives ? asks[next].at : running.begin()->first;
    if (arrives) {
      QueueEntry asked = entry(next, asks[next].priority, asks[next].tenant);
      asked.goal = now + asks[next].goal;
      queue.enqueue(now, asked, kMaxWaiting, kAverageTime);
      ++next;
    } else {
      const auto& [tenant, taken] = running.begin()->second;
      queue.note_used(core::TenantName(tenant), taken - kAverageTime);
      running.erase(running.begin());
    }
    const bool later = now > core::Instant{} + milliseconds(500);
    while (running.size() < slots - (later ? lost : 0)) {
      const auto taken = queue.take_next(now, kAverageTime, any_entry);
      if (!taken) {
        break;
      }
      Ask& ask = asks.at(*taken);
      const core::Duration work(micros(random));
      ask.latency = now + work - ask.at;
      running.emplace(now + work, std::pair(ask.tenant, work));
    }
  }
}

constexpr std::uint32_t kSeeds = 100;

/// Fraction of the urgent requests (priority 0) that are in time; displaced ones count as late.
double urgent_in_time(const std::vector<Ask>& asks) {
  double all = 0;
  double in_time = 0;
  for (const Ask& ask : asks) {
    all += ask.priority == 0 ? 1 : 0;
    in_time += ask.priority == 0 && ask.in_time() ? 1 : 0;
  }
  return in_time / all;
}

TEST(StatementQueueLoadTest, AFloodOfLowPriorityRequestsDoesNotMakeUrgentOnesLate) {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random(seed);
    std::vector<Ask> asks;
    add_asks(asks, random, 200, Ask{{}, 0, "", milliseconds(60)});   // 4 slots can run 444 a second.
    add_asks(asks, random, 900, Ask{{}, 2, "", milliseconds(400)});  // Twice as many as the slots can run.
    play(asks, random, 4);
    EXPECT_GE(urgent_in_time(asks), 0.99) << "seed " << seed;
  }
}

TEST(StatementQueueLoadTest, LosingATenthOfTheSlotsDoesNotMakeUrgentRequestsLate) {
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random(seed);
    std::vector<Ask> asks;
    add_asks(asks, random, 600, Ask{{}, 0, "", milliseconds(60)});  // 9 slots can run 1,000 a second.
    add_asks(asks, random, 600, Ask{{}, 2, "", milliseconds(400)});
    play(asks, random, 10, 1);
    EXPECT_GE(urgent_in_time(asks), 0.99) << "seed " << seed;
  }
}

/// Latencies of ten tenants with 20 requests a second each on 4 slots, while the tenant "flood" sends `flood`
/// requests a second.
std::vector<core::Duration> other_tenants_latencies(std::uint32_t seed, int flood) {
  std::mt19937 random(seed);
  std::vector<Ask> asks;
  for (int tenant = 0; tenant < 10; ++tenant) {
    add_asks(asks, random, 20, Ask{{}, 1, "t" + std::to_string(tenant), milliseconds(400)});
  }
  add_asks(asks, random, flood, Ask{{}, 1, "flood", milliseconds(400)});
  play(asks, random, 4);
  std::vector<core::Duration> latencies;
  for (const Ask& ask : asks) {
    if (ask.tenant != "flood") {
      latencies.push_back(ask.latency);
    }
  }
  std::sort(latencies.begin(), latencies.end());
  return latencies;
}

TEST(StatementQueueLoadTest, ATenantAtEightTimesItsRateDelaysOthersByOneStatementAtMost) {
  constexpr int kUsualRate = 50;
  constexpr core::Duration kLongest = milliseconds(13);  // A running statement is not interrupted.
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    const auto normal = other_tenants_latencies(seed, kUsualRate);
    const auto flooded = other_tenants_latencies(seed, 8 * kUsualRate);
    const std::size_t middle = normal.size() / 2;
    const std::size_t late = normal.size() * 95 / 100;
    EXPECT_LE(flooded[middle], normal[middle] + kLongest) << "seed " << seed;
    EXPECT_LE(flooded[late], normal[late] + kLongest) << "seed " << seed;
  }
}

}  // namespace
}  // namespace pipitpond::pooling
