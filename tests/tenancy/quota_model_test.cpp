// Quotas of a fleet as its daemons keep them, played for thousands of histories with restarts, cuts from
// control, freezes, departures, newcomers and changed limits, against an oracle of both promises.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "tenancy/quota_examples.hpp"
#include "tenancy/quota_home.hpp"

namespace pipitpond::tenancy {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStep{20};
constexpr milliseconds kHeartbeat{500};
/// Control removes a daemon that was silent for as long as this.
constexpr milliseconds kRemoval{4800};

const core::TenantName kTenant("t");

/// What control has acknowledged.
struct Control {
  protocol::Configuration configuration;
  TenantDirectory directory;

  void put_quota(protocol::TenantQuota quota) {
    protocol::Tenant tenant;
    tenant.name = kTenant;
    tenant.quota = quota;
    configuration.routes.tenants = protocol::Tenants{tenant};
    ++configuration.routes.version;
    ++configuration.revision;
  }
  void admit(const core::DaemonId& id, std::uint64_t incarnation, const core::ZoneName& zone) {
    ++configuration.revision;
    const auto known = configuration.daemons.find(id);
    const bool in_place = known != configuration.daemons.end();
    const protocol::Revision since = in_place ? known->second.live_since : configuration.revision;
    protocol::Daemon daemon;
    daemon.id = id;
    daemon.incarnation = incarnation;
    daemon.zone = zone;
    daemon.revision = configuration.revision;
    daemon.live_since = since;
    configuration.daemons[id] = daemon;
  }
  void remove(const core::DaemonId& id) {
    ++configuration.revision;
    configuration.daemons.erase(id);
  }
};

/// One daemon's view and buckets.
struct Daemon {
  core::DaemonId id;
  core::ZoneName zone;
  std::uint64_t incarnation = 1;
  bool running = true;
  bool cut_off = false;  ///< From control; other daemons reach it.
  bool frozen = false;
  core::Instant heard{};  ///< By control.
  core::Instant next_heartbeat{};
  core::Instant complete_until{};
  protocol::Revision applied = 0;
  TenantDirectory directory;
  std::unique_ptr<QuotaHomes> homes;
  std::unique_ptr<QuotaHome> home;

  void start() {
    homes = std::make_unique<QuotaHomes>(zone);
    home = std::make_unique<QuotaHome>(id, QuotaLimits{});
    directory = TenantDirectory();
    complete_until = {};
    applied = 0;
    running = true;
    frozen = false;
  }
  void apply(core::Instant now, const protocol::Configuration& configuration) {
    applied = configuration.revision;
    directory.apply(configuration.routes);
    homes->apply(configuration);
    const auto self = configuration.daemons.find(id);
    const bool admitted = self != configuration.daemons.end() && self->second.incarnation == incarnation;
    home->apply(now, directory, *homes, admitted ? &self->second : nullptr);
  }
};

class Fleet {
 public:
  Fleet(std::uint64_t seed, int daemons, protocol::TenantQuota quota) : random_(seed), quota_(quota) {
    control_.put_quota(quota);
    for (int number = 0; number < daemons; ++number) {
      Daemon daemon;
      daemon.id = core::DaemonId("d" + std::to_string(number));
      daemon.zone = core::ZoneName("z" + std::to_string(number % kZones));
      daemon.next_heartbeat = now_ + milliseconds(random_() % kHeartbeat.count());
      daemon.start();
      daemons_.push_back(std::move(daemon));
    }
  }

  void step(double operations_per_s, bool faults) {
    now_ += kStep;
    if (faults) {
      disturb();
    }
    for (Daemon& daemon : daemons_) {
      talk_to_control(daemon);
    }
    drop_silent();
    give_back_due();
    due_ += operations_per_s * std::chrono::duration<double>(kStep).count();
    while (due_ >= 1) {
      due_ -= 1;
      ask_for_one();
    }
    judge();
  }

  void set_quota(protocol::TenantQuota quota) {
    quota_ = quota;
    control_.put_quota(quota);
  }
  /// Callers come to this daemon alone; nothing: to any.
  void send_all_to(std::optional<std::size_t> daemon) { only_ = daemon; }

  /// All daemons start anew at once.
  void lose_power() {
    for (Daemon& daemon : daemons_) {
      ++daemon.incarnation;
      daemon.start();
    }
  }

  /// This part of the operations does not run: each is given back, late, twice or never.
  void let_fail(double part) { failing_part_ = part; }

  void kill(std::size_t daemon) { daemons_[daemon].running = false; }

  [[nodiscard]] double most_in_window() const { return most_in_window_; }
  [[nodiscard]] int refused_rightfully() const { return refused_rightfully_; }
  [[nodiscard]] int refused_wrongly() const { return refused_wrongly_; }
  [[nodiscard]] int ran() const { return ran_; }

 private:
  Daemon& any() { return daemons_[random_() % daemons_.size()]; }

  void disturb() {
    if (random_() % 25 != 0) {
      return;
    }
    Daemon& daemon = any();
    switch (random_() % 5) {
      case 0:
        daemon.cut_off = !daemon.cut_off;
        break;
      case 1:
        daemon.frozen = !daemon.frozen;
        break;
      case 2:  // Killed, or back.
        if (daemon.running) {
          daemon.running = false;
        } else {
          ++daemon.incarnation;
          daemon.start();
        }
        break;
      case 3:  // A planned stop.
        if (daemon.running && !daemon.cut_off && !daemon.frozen) {
          daemon.home->stop();
          daemon.running = false;
          control_.remove(daemon.id);
        }
        break;
      default:
        for (Daemon& one : daemons_) {
          one.cut_off = one.frozen = false;
        }
    }
  }

  void talk_to_control(Daemon& daemon) {
    const bool talks = daemon.running && !daemon.cut_off && !daemon.frozen && now_ >= daemon.next_heartbeat;
    if (!talks) {
      return;
    }
    daemon.next_heartbeat = now_ + kHeartbeat;
    daemon.heard = now_;
    const auto known = control_.configuration.daemons.find(daemon.id);
    const bool admitted =
        known != control_.configuration.daemons.end() && known->second.incarnation == daemon.incarnation;
    if (!admitted) {
      control_.admit(daemon.id, daemon.incarnation, daemon.zone);
    }
    daemon.apply(now_, control_.configuration);
    daemon.complete_until = now_;
    // Changes are pushed; those that are in touch have them with the next step.
    for (Daemon& other : daemons_) {
      const bool in_touch = other.running && !other.cut_off && !other.frozen;
      if (in_touch && other.applied < control_.configuration.revision) {
        other.apply(now_, control_.configuration);
      }
    }
  }

  void drop_silent() {
    for (Daemon& daemon : daemons_) {
      const bool listed = control_.configuration.daemons.contains(daemon.id);
      if (listed && now_ - daemon.heard >= kRemoval) {
        control_.remove(daemon.id);
      }
    }
  }

  void ask_for_one() {
    Daemon& asking = only_ ? daemons_[*only_] : any();
    refill_reference();
    const bool rightful = reference_ >= 1;
    reference_ -= rightful ? 1 : 0;
    if (!asking.running || asking.frozen || asking.applied == 0) {
      return;
    }
    for (const core::DaemonId& id : asking.homes->of(kTenant)) {
      Daemon& home = *std::find_if(daemons_.begin(), daemons_.end(),
                                   [&](const Daemon& daemon) { return daemon.id == id; });
      if (!home.running || home.frozen) {
        continue;
      }
      const QuotaGrant grant = home.home->take(now_, kTenant, home.complete_until);
      if (grant.granted > 0 && fails()) {
        plan_return(home.id, grant.first);
        return;
      }
      if (grant.granted > 0) {
        ran_at_.push_back(now_);
        ++ran_;
        return;
      }
    }
    ++(rightful ? refused_wrongly_ : refused_rightfully_);
  }

  /// An operation on its way back to the home that granted it.
  struct Return {
    core::DaemonId home;
    TokenNumber number = 0;
  };

  bool fails() { return failing_part_ > 0 && std::bernoulli_distribution(failing_part_)(random_); }

  void plan_return(const core::DaemonId& home, TokenNumber number) {
    const auto most = std::chrono::duration_cast<milliseconds>(kGiveBackTime * 3 / 2);
    const std::uint64_t copies = random_() % 10;  // None, one, or two.
    const int sent = copies == 0 ? 0 : (copies == 1 ? 2 : 1);
    for (int copy = 0; copy < sent; ++copy) {
      const core::Instant at = now_ + milliseconds(random_() % most.count());
      returns_.emplace(at, Return{home, number});
    }
  }

  void give_back_due() {
    while (!returns_.empty() && returns_.begin()->first <= now_) {
      const Return one = returns_.begin()->second;
      returns_.erase(returns_.begin());
      Daemon& home = *std::find_if(daemons_.begin(), daemons_.end(),
                                   [&](const Daemon& daemon) { return daemon.id == one.home; });
      if (home.running && !home.frozen) {
        home.home->give_back(now_, kTenant, one.number);
      }
    }
  }

  /// What one bucket for all would grant.
  void refill_reference() {
    const double seconds = std::chrono::duration<double>(now_ - reference_filled_).count();
    reference_ = std::min<double>(quota_.burst, reference_ + seconds * quota_.rate_per_s);
    reference_filled_ = now_;
  }

  void judge() {
    const QuotaLimits limits;
    while (!ran_at_.empty() && now_ - ran_at_.front() >= limits.window) {
      ran_at_.pop_front();
    }
    most_in_window_ = std::max(most_in_window_, static_cast<double>(ran_at_.size()));
  }

  std::mt19937_64 random_;
  protocol::TenantQuota quota_;
  Control control_;
  std::vector<Daemon> daemons_;
  core::Instant now_{std::chrono::hours(1)};
  std::optional<std::size_t> only_;
  double failing_part_ = 0;
  std::multimap<core::Instant, Return> returns_;
  double due_ = 0;
  double reference_ = 0;
  core::Instant reference_filled_{std::chrono::hours(1)};
  std::deque<core::Instant> ran_at_;
  double most_in_window_ = 0;
  int ran_ = 0;
  int refused_rightfully_ = 0;
  int refused_wrongly_ = 0;
};

void play(Fleet& fleet, double operations_per_s, std::chrono::seconds duration, bool faults) {
  for (auto played = milliseconds(0); played < duration; played += kStep) {
    fleet.step(operations_per_s, faults);
  }
}

TEST(QuotaModel, NoHistoryOfFaultsLetsMoreRunThanIsPermitted) {
  constexpr std::uint64_t kHistories = 1500;
  for (std::uint64_t seed = 1; seed <= kHistories; ++seed) {
    const protocol::TenantQuota quota = seed % 2 == 0 ? kLarge : kSmall;
    Fleet fleet(seed, 9, quota);
    play(fleet, 0, std::chrono::seconds(4), false);
    play(fleet, 3.0 * quota.rate_per_s, std::chrono::seconds(20), true);
    ASSERT_LE(fleet.most_in_window(), permitted(quota)) << "seed " << seed;
  }
}

TEST(QuotaModel, NoLossOfPowerLetsMoreRunThanIsPermitted) {
  constexpr std::uint64_t kHistories = 800;
  constexpr int kSeconds = 20;
  for (std::uint64_t seed = 1; seed <= kHistories; ++seed) {
    const protocol::TenantQuota quota = seed % 2 == 0 ? kLarge : kSmall;
    Fleet fleet(seed, 9, quota);
    play(fleet, 0, std::chrono::seconds(8), false);
    const bool faults = seed % 4 < 2;
    for (int second = 0; second < kSeconds; ++second) {
      if (second % 2 == static_cast<int>(seed % 3)) {  // Up to three times in a window.
        fleet.lose_power();
      }
      play(fleet, 4.0 * quota.rate_per_s, std::chrono::seconds(1), faults);
    }
    ASSERT_LE(fleet.most_in_window(), permitted(quota)) << "seed " << seed;
    ASSERT_GT(fleet.ran(), 0) << "seed " << seed;
  }
}

TEST(QuotaModel, OperationsThatAreGivenBackLetNoMoreRunThanIsPermitted) {
  constexpr std::uint64_t kHistories = 500;
  constexpr int kSeconds = 16;
  for (std::uint64_t seed = 1; seed <= kHistories; ++seed) {
    const protocol::TenantQuota quota = seed % 2 == 0 ? kLarge : kSmall;
    Fleet fleet(seed, 9, quota);
    play(fleet, 0, std::chrono::seconds(8), false);
    std::mt19937_64 random(seed);
    for (int second = 0; second < kSeconds; ++second) {
      // Many fail for a while, demand is low or high: a bucket is full, and is then asked for all it has.
      fleet.let_fail(static_cast<double>(random() % 10) / 10);
      const double times_the_rate = static_cast<double>(random() % 80) / 10;
      play(fleet, times_the_rate * quota.rate_per_s, std::chrono::seconds(1), seed % 4 < 2);
      if (random() % 10 == 0) {
        fleet.lose_power();
      }
    }
    ASSERT_LE(fleet.most_in_window(), permitted(quota)) << "seed " << seed;
  }
}

TEST(QuotaModel, WhatIsGivenBackRunsLater) {
  Fleet fleet(3, 9, kLarge);
  play(fleet, 0, std::chrono::seconds(8), false);
  fleet.let_fail(0.5);
  play(fleet, 2000, std::chrono::seconds(20), false);
  // Of those that fail, three fifths come back in time; without a way back half of the limit would run.
  EXPECT_GE(fleet.ran(), 20 * 200 * 3 / 4);
  EXPECT_LE(fleet.most_in_window(), permitted(kLarge));
}

TEST(QuotaModel, WithoutFaultsNothingBelowTheQuotaIsRefused) {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const protocol::TenantQuota quota = seed % 2 == 0 ? kLarge : kSmall;
    Fleet fleet(seed, seed % 3 == 0 ? 79 : 9, quota);
    play(fleet, 0, std::chrono::seconds(8), false);
    if (seed % 4 == 0) {
      fleet.send_all_to(3);
    }
    play(fleet, 0.8 * quota.rate_per_s, std::chrono::seconds(20), false);
    const int asked = fleet.ran() + fleet.refused_wrongly();
    EXPECT_LE(fleet.refused_wrongly(), asked / 200) << "seed " << seed;
  }
}

TEST(QuotaModel, AFloodGetsWhatTheQuotaAllowsAndNotLess) {
  Fleet fleet(7, 9, kLarge);
  play(fleet, 0, std::chrono::seconds(8), false);
  play(fleet, 1000, std::chrono::seconds(20), false);
  EXPECT_GE(fleet.ran(), 20 * 200);
  EXPECT_LE(fleet.most_in_window(), permitted(kLarge));
}

TEST(QuotaModel, ALoweredQuotaBindsWithinAWindow) {
  Fleet fleet(11, 9, kLarge);
  play(fleet, 0, std::chrono::seconds(8), false);
  play(fleet, 400, std::chrono::seconds(5), false);
  fleet.set_quota(kSmall);
  play(fleet, 400, std::chrono::seconds(6), false);
  const int before = fleet.ran();
  play(fleet, 400, std::chrono::seconds(5), false);
  EXPECT_LE(fleet.ran() - before, permitted(kSmall));
}

TEST(QuotaHome, ADaemonThatStartsAgainInItsPlaceGivesAtOnce) {
  // Its entry is that of its earlier life, which joined; seen as its own it gave nothing for 3 s after a loss
  // of all power.
  Control control;
  control.put_quota(kLarge);
  control.admit(core::DaemonId("d"), 1, core::ZoneName("z"));
  Daemon daemon;
  daemon.id = core::DaemonId("d");
  daemon.zone = core::ZoneName("z");
  daemon.incarnation = 2;
  daemon.start();
  const core::Instant now{std::chrono::hours(1)};
  daemon.apply(now, control.configuration);
  control.admit(core::DaemonId("d"), 2, core::ZoneName("z"));
  daemon.apply(now, control.configuration);
  EXPECT_GT(daemon.home->take(now, kTenant, now).granted, 0U);
}

TEST(QuotaHome, SeveralOperationsAreGrantedUnderNumbersInARowAndTheRestIsTold) {
  Control control;
  control.put_quota(kSmall);
  control.admit(core::DaemonId("d"), 1, core::ZoneName("z"));
  Daemon daemon;
  daemon.id = core::DaemonId("d");
  daemon.zone = core::ZoneName("z");
  daemon.start();
  core::Instant now{std::chrono::hours(1)};
  daemon.apply(now, control.configuration);
  now += std::chrono::seconds(20);
  const QuotaGrant some = daemon.home->take(now, kTenant, now, {4, 0});
  EXPECT_EQ(some.granted, 4U);
  const QuotaGrant rest = daemon.home->take(now, kTenant, now, {kMostOperationsAsked, 0});
  EXPECT_EQ(rest.first, some.first + 4);
  EXPECT_LT(rest.granted, kMostOperationsAsked);
  EXPECT_GE(rest.retry_in, kShortestTurn);
  for (TokenNumber number = some.first; number < rest.first; ++number) {
    daemon.home->give_back(now, kTenant, number);
  }
  EXPECT_EQ(daemon.home->given_back(), 4U);
  EXPECT_EQ(daemon.home->take(now, kTenant, now, {kMostOperationsAsked, 0}).granted, 4U);
}

TEST(QuotaModel, WhileOneOfThreeHomesIsLostTwoThirdsOfTheQuotaRemain) {
  Fleet fleet(13, 3, kLarge);
  play(fleet, 0, std::chrono::seconds(8), false);
  fleet.send_all_to(0);
  fleet.kill(1);
  play(fleet, 0.6 * kLarge.rate_per_s, std::chrono::seconds(5), false);
  EXPECT_EQ(fleet.refused_wrongly(), 0);
}

}  // namespace
}  // namespace pipitpond::tenancy
