// Simulates the owners of one database under more load than its slots can take, and checks what their
// concurrency limits let through.
#include <gtest/gtest.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "pooling/concurrency_limit.hpp"
#include "pooling/statement_queue.hpp"
#include "support/virtual_time.hpp"

namespace pipitpond::pooling {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kSlots = 4;
constexpr std::size_t kDatabaseQueue = 32;
constexpr std::size_t kOwners = 8;
constexpr std::uint32_t kMostOfOneOwner = 5;
constexpr int kStatementsOfTransaction = 5;
constexpr core::Duration kRest = milliseconds(2);        ///< Pause between statements of a transaction.
constexpr core::Duration kBusyPause = milliseconds(10);  ///< Pause after a rejection.
constexpr core::Duration kRejection = milliseconds(1);
constexpr core::Duration kGoal = milliseconds(400);
constexpr core::Duration kDeadline = milliseconds(1000);
constexpr core::Duration kAverageTime = milliseconds(9);

struct Outcome {
  std::size_t asked = 0;
  std::size_t in_time = 0;
  std::size_t rejected = 0;  ///< By the database.

  Outcome& operator+=(const Outcome& other) {
    asked += other.asked;
    in_time += other.in_time;
    rejected += other.rejected;
    return *this;
  }
  [[nodiscard]] double goodput() const { return static_cast<double>(in_time) / static_cast<double>(asked); }
};

struct Request {
  std::size_t owner = 0;
  core::Instant arrived;
  int statements_left = 1;
};

struct Owner {
  ConcurrencyLimit limit;
  StatementQueue queue;
  StatementsInFlight in_flight;
};

/// Discrete-event simulation of all owners and the database, without a network.
class Play {
 public:
  Play(std::uint32_t seed, bool counts_transactions)
      : random_(seed), counts_transactions_(counts_transactions), owners_(kOwners) {
    for (Owner& owner : owners_) {
      owner.limit.set_bounds(1, kMostOfOneOwner);
    }
  }

  /// Simulates 5 s of requests, of which the given fraction are transactions, and then until all of them have
  /// ended.
  Outcome run(int statements_per_second, double transactions) {
    constexpr int kSeconds = 5;
    const double statements = 1 + transactions * (kStatementsOfTransaction - 1);
    const int count = static_cast<int>(kSeconds * statements_per_second / statements);
    std::uniform_int_distribution<int> micros(0, kSeconds * 1'000'000);
    std::uniform_int_distribution<std::size_t> owner(0, kOwners - 1);
    std::bernoulli_distribution is_transaction(transactions);
    for (int number = 0; number < count; ++number) {
      Request request;
      request.owner = owner(random_);
      request.arrived = core::Instant{} + core::Duration(micros(random_));
      request.statements_left = is_transaction(random_) ? kStatementsOfTransaction : 1;
      time_.at(request.arrived, [this, request] { arrive(request); });
    }
    outcome_.asked = static_cast<std::size_t>(count);
    time_.run();
    return outcome_;
  }

 private:
  struct Job {
    core::Duration length;
    std::function<void(bool)> done;
  };

  // --- Database

  void submit(std::function<void(bool)> done) {
    if (jobs_.size() >= kDatabaseQueue) {
      ++outcome_.rejected;
      time_.at(time_.now() + kRejection, [done = std::move(done)] { done(false); });
      return;
    }
    std::uniform_int_distribution<int> micros(5'000, 13'000);
    jobs_.push_back({core::Duration(micros(random_)), std::move(done)});
    start_jobs();
  }

  void start_jobs() {
    while (busy_ < kSlots && !jobs_.empty()) {
      Job job = std::move(jobs_.front());
      jobs_.pop_front();
      ++busy_;
      time_.at(time_.now() + job.length, [this, done = std::move(job.done)] {
        --busy_;
        start_jobs();
        done(true);
      });
    }
  }

  // --- Owners

  void arrive(const Request& request) {
    QueueEntry entry;
    entry.number = ++last_number_;
    entry.goal = request.arrived + kGoal;
    waiting_.emplace(entry.number, request);
    owners_[request.owner].queue.enqueue(time_.now(), entry, kSlots * kMaxWaitingPerSlot, kAverageTime);
    serve(request.owner);
  }

  [[nodiscard]] bool has_room(const Owner& owner) const {
    StatementsInFlight counted = owner.in_flight;
    counted.in_transactions = counts_transactions_ ? counted.in_transactions : 0;
    return owner.limit.has_room(counted);
  }

  void serve(std::size_t index) {
    Owner& owner = owners_[index];
    while (has_room(owner)) {
      const auto next =
          owner.queue.take_next(time_.now(), kAverageTime, [](const QueueEntry&) { return true; });
      if (!next) {
        return;
      }
      const Request request = waiting_.at(*next);
      waiting_.erase(*next);
      if (time_.now() < request.arrived + kDeadline) {
        begin(request);
      }
    }
  }

  void begin(const Request& request) {
    ++owners_[request.owner].in_flight.outside;
    submit([this, request, sent = time_.now()](bool ran) {
      Owner& owner = owners_[request.owner];
      --owner.in_flight.outside;
      note_answer(owner, ran, sent);
      if (ran) {
        go_on(request);
      } else {
        time_.at(time_.now() + kBusyPause, [this, request] { arrive(request); });
      }
      serve(request.owner);
    });
  }

  /// Continues the request after one of its statements has run.
  void go_on(Request request) {
    if (--request.statements_left > 0) {
      time_.at(time_.now() + kRest, [this, request] { run_in_transaction(request); });
      return;
    }
    outcome_.in_time += time_.now() <= request.arrived + kGoal ? 1 : 0;
  }

  void run_in_transaction(const Request& request) {
    if (time_.now() >= request.arrived + kDeadline) {
      return;
    }
    ++owners_[request.owner].in_flight.in_transactions;
    submit([this, request, sent = time_.now()](bool ran) {
      Owner& owner = owners_[request.owner];
      --owner.in_flight.in_transactions;
      note_answer(owner, ran, sent);
      if (ran) {
        go_on(request);
      } else {
        time_.at(time_.now() + kBusyPause, [this, request] { run_in_transaction(request); });
      }
      serve(request.owner);
    });
  }

  void note_answer(Owner& owner, bool ran, core::Instant sent) const {
    if (ran) {
      owner.limit.on_answered(time_.now(), time_.now() - sent);
    } else {
      owner.limit.on_refused(time_.now());
    }
  }

  std::mt19937 random_;
  bool counts_transactions_;
  std::vector<Owner> owners_;
  testing::VirtualTime time_;
  std::deque<Job> jobs_;
  std::size_t busy_ = 0;
  std::map<WaiterNumber, Request> waiting_;
  WaiterNumber last_number_ = 0;
  Outcome outcome_;
};

Outcome play_seeds(bool counts_transactions, int statements_per_second, double transactions) {
  constexpr std::uint32_t kSeeds = 30;
  Outcome all;
  for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
    all += Play(seed, counts_transactions).run(statements_per_second, transactions);
  }
  return all;
}

/// 130% of the 444 statements that 4 slots can run in a second.
constexpr int kOverload = 577;

TEST(ConcurrencyLoadTest, CountingTransactionsKeepsTheDatabasesQueueFromOverflowing) {
  for (const double transactions : {0.2, 0.5, 0.8}) {
    const Outcome before = play_seeds(false, kOverload, transactions);
    const Outcome after = play_seeds(true, kOverload, transactions);
    EXPECT_LT(after.rejected * 20, before.rejected) << "transactions: " << transactions;
    EXPECT_GT(after.goodput(), before.goodput() + 0.03) << "transactions: " << transactions;
  }
}

TEST(ConcurrencyLoadTest, CountingTransactionsCostsNothingWithoutOverload) {
  for (const double transactions : {0.2, 0.5, 0.8}) {
    const Outcome before = play_seeds(false, 360, transactions);
    const Outcome after = play_seeds(true, 360, transactions);
    EXPECT_EQ(after.rejected, 0U) << "transactions: " << transactions;
    EXPECT_GT(after.goodput(), before.goodput() - 0.001) << "transactions: " << transactions;
  }
}

}  // namespace
}  // namespace pipitpond::pooling
