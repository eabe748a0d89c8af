#include "simulation_group/faults.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace pipitpond::simulation::group {
namespace {

constexpr std::size_t kKinds = static_cast<std::size_t>(FaultKind::kCount);
constexpr std::array<std::string_view, kKinds> kNames = {"primary cut from control",
                                                         "primary cut from replicas",
                                                         "primary frozen",
                                                         "daemon frozen",
                                                         "daemon frozen in failover",
                                                         "split group",
                                                         "two failovers",
                                                         "promotion answer lost",
                                                         "old term returns",
                                                         "replicas far behind",
                                                         "best replica unreachable",
                                                         "second machine lost",
                                                         "database restart",
                                                         "lossy link",
                                                         "one-way cut",
                                                         "daemon cut from control",
                                                         "daemon cut from primary",
                                                         "daemon restart",
                                                         "daemon machine lost",
                                                         "control leader change",
                                                         "daemon slow to primary",
                                                         "primary lost with a replica behind"};

constexpr core::Duration kShortest = std::chrono::milliseconds(200);
constexpr core::Duration kLongest = std::chrono::milliseconds(6000);
constexpr core::Duration kMachineAway = std::chrono::milliseconds(3300);
constexpr std::uint64_t kMostFaults = 5;

/// Carries out one fault on one group.
class Injection {
 public:
  Injection(Fabric& fabric, Fleet& fleet, const Fault& fault)
      : fabric_(fabric), fleet_(fleet), fault_(fault), group_(fabric.random.below(fleet.group_count())) {}

  void begin() {
    fabric_.trace.line("faults", "{} for {} ms", to_string(fault_.kind), core::to_millis(fault_.length));
    primary_ = fleet_.primary(group_);
    if (primary_ == nullptr) {
      primary_ = fleet_.members(group_).front();
    }
    replicas_ = fleet_.replicas(group_);
    daemon_ = &fleet_.daemons()[fabric_.random.below(fleet_.daemons().size())];
    inject();
  }

 private:
  void inject() {
    switch (fault_.kind) {
      case FaultKind::kPrimaryCutFromControl:
        cut(primary_->host(), fleet_.control().host(), fault_.length);
        break;
      case FaultKind::kPrimaryCutFromReplicas:
        for (DatabaseNode* replica : replicas_) {
          cut(primary_->host(), replica->host(), fault_.length);
        }
        break;
      case FaultKind::kPrimaryFrozen:
        freeze(primary_->host(), fault_.length);
        break;
      case FaultKind::kDaemonFrozen:
        freeze(daemon_->host(), fault_.length);
        break;
      case FaultKind::kDaemonFrozenInFailover:
        freeze_daemon_in_failover();
        break;
      case FaultKind::kSplitGroup:
        split_group();
        break;
      case FaultKind::kTwoFailovers:
        two_failovers();
        break;
      case FaultKind::kPromotionAnswerLost:
        lose_promotion_answer();
        break;
      case FaultKind::kOldTermReturns:
        old_term_returns();
        break;
      case FaultKind::kReplicasFarBehind:
        fall_behind();
        break;
      case FaultKind::kBestReplicaUnreachable:
        lose_best_replica();
        break;
      case FaultKind::kSecondLost:
        lose_second_machine();
        break;
      case FaultKind::kDatabaseRestart:
        restart(*fleet_.members(group_)[fabric_.random.below(3)], fault_.length);
        break;
      default:
        inject_around_databases();
    }
  }

  void inject_around_databases() {
    switch (fault_.kind) {
      case FaultKind::kLossyLink:
        lossy_link();
        break;
      case FaultKind::kOneWayCut:
        cut_one_way(any_host(), any_host(), fault_.length);
        break;
      case FaultKind::kDaemonCutFromControl:
        cut(daemon_->host(), fleet_.control().host(), fault_.length);
        break;
      case FaultKind::kDaemonCutFromPrimary:
        cut(daemon_->host(), primary_->host(), fault_.length);
        break;
      case FaultKind::kDaemonSlowToPrimary:
        slow_daemon();
        break;
      case FaultKind::kPrimaryLostWithReplicaBehind:
        lose_primary_with_replica_behind();
        break;
      case FaultKind::kDaemonRestart:
      case FaultKind::kDaemonMachineLost:
        restart_daemon(fault_.kind == FaultKind::kDaemonMachineLost);
        break;
      default:
        fleet_.control().change_leader(fault_.length / 4);
    }
  }

  void freeze_daemon_in_failover() {
    // Shorter than its callers' patience, so that somebody hears what it says afterwards.
    freeze(daemon_->host(),
           fabric_.random.between(std::chrono::milliseconds(1400), std::chrono::milliseconds(2300)));
    later(std::chrono::milliseconds(3), [this] { freeze(primary_->host(), fault_.length); });
  }

  void split_group() {
    const std::uint64_t first = fabric_.random.below(2);
    DatabaseNode* kept = replicas_[first];
    DatabaseNode* other = replicas_[1 - first];
    cut(primary_->host(), fleet_.control().host(), fault_.length);
    cut(daemon_->host(), fleet_.control().host(), fault_.length);
    cut_one_way(other->host(), primary_->host(), fault_.length);
    if (fabric_.random.chance(500)) {
      cut_one_way(primary_->host(), other->host(), fault_.length);
    }
    cut(kept->host(), other->host(), fault_.length);
    for (DaemonNode& one : fleet_.daemons()) {
      if (&one != daemon_) {
        cut(primary_->host(), one.host(), fault_.length);
      }
    }
  }

  void two_failovers() {
    freeze(primary_->host(), fault_.length);
    const core::Duration second =
        fabric_.random.between(std::chrono::milliseconds(700), std::chrono::seconds(2));
    later(second, [this] {
      DatabaseNode* next = fleet_.primary(group_);
      if (next != nullptr && next != primary_) {
        freeze(next->host(), fault_.length / 2);
      }
    });
  }

  void lose_promotion_answer() {
    freeze(primary_->host(), fault_.length);
    const core::Duration wait =
        fabric_.random.between(std::chrono::milliseconds(300), std::chrono::milliseconds(900));
    later(wait, [this] {
      for (DatabaseNode* replica : replicas_) {
        cut_one_way(replica->host(), fleet_.control().host(), fault_.length / 3);
      }
    });
  }

  void old_term_returns() {
    DatabaseNode* lost = replicas_[fabric_.random.below(replicas_.size())];
    isolate(*lost, fault_.length);
    later(kShortest, [this] { restart(*primary_, fault_.length / 2); });
  }

  void fall_behind() {
    const core::Duration lag = fabric_.random.between(std::chrono::milliseconds(50), std::chrono::seconds(2));
    LinkQuality slow;
    slow.delay_min = std::chrono::milliseconds(20);
    slow.delay_max = std::chrono::milliseconds(150);
    for (DatabaseNode* replica : replicas_) {
      fabric_.network.set_link(primary_->host(), replica->host(), slow);
      replica->set_apply_lag(lag);
    }
    later(fault_.length, [this] {
      for (DatabaseNode* replica : replicas_) {
        fabric_.network.set_link(primary_->host(), replica->host(), LinkQuality{});
        replica->set_apply_lag(std::chrono::milliseconds(5));
      }
    });
  }

  void lose_best_replica() {
    const bool first = fabric_.random.chance(500);
    DatabaseNode* behind = replicas_[first ? 0 : 1];
    DatabaseNode* best = replicas_[first ? 1 : 0];
    cut(primary_->host(), behind->host(), fault_.length);
    later(fault_.length / 3, [this, best] {
      cut(best->host(), fleet_.control().host(), fault_.length / 2);
      freeze(primary_->host(), fault_.length / 2);
    });
  }

  /// Both replicas can be asked and promoted; one of them lacks the last that the other holds.
  void lose_primary_with_replica_behind() {
    DatabaseNode* behind = replicas_[fabric_.random.below(replicas_.size())];
    cut(primary_->host(), behind->host(), fault_.length);
    // So soon that the other replica has not heard either which of its last entries are committed.
    const core::Duration soon =
        fabric_.random.between(std::chrono::milliseconds(3), std::chrono::milliseconds(40));
    later(soon, [this] { freeze(primary_->host(), fault_.length); });
  }

  void slow_daemon() {
    LinkQuality slow;
    slow.delay_min = std::chrono::milliseconds(20);
    slow.delay_max = std::chrono::milliseconds(1500);
    fabric_.network.set_link(daemon_->host(), primary_->host(), slow);
    later(fault_.length,
          [this] { fabric_.network.set_link(daemon_->host(), primary_->host(), LinkQuality{}); });
  }

  void lose_second_machine() {
    restart(*replicas_[fabric_.random.below(replicas_.size())], fault_.length / 2);
    later(fault_.length / 2 + std::chrono::milliseconds(10), [this] {
      DatabaseNode* current = fleet_.primary(group_);
      restart(current != nullptr ? *current : *primary_, fault_.length / 2);
    });
  }

  void lossy_link() {
    Host& from = any_host();
    Host& to = any_host();
    LinkQuality lossy;
    lossy.lost_per_mille = 50 + static_cast<std::uint32_t>(fabric_.random.below(350));
    lossy.doubled_per_mille = 50;
    lossy.late_per_mille = 50;
    lossy.late_by = std::chrono::milliseconds(300);
    fabric_.network.set_link(from, to, lossy);
    later(fault_.length, [this, &from, &to] { fabric_.network.set_link(from, to, LinkQuality{}); });
  }

  void restart_daemon(bool silently) {
    if (!daemon_->host().up()) {
      return;
    }
    daemon_->stop(silently);
    // A machine takes longer to come back than a database takes to close what it left open.
    const core::Duration away = silently ? std::max(fault_.length, kMachineAway) : fault_.length;
    later(away, [this] {
      if (!daemon_->host().up()) {
        daemon_->start();
      }
    });
  }

  void restart(DatabaseNode& database, core::Duration length) {
    if (!database.host().up()) {
      return;
    }
    database.crash();
    later(length, [&database] {
      if (!database.host().up()) {
        database.start();
      }
    });
  }

  void isolate(DatabaseNode& database, core::Duration length) {
    cut(database.host(), fleet_.control().host(), length);
    for (DatabaseNode* other : fleet_.members(group_)) {
      if (other != &database) {
        cut(database.host(), other->host(), length);
      }
    }
  }

  void freeze(Host& host, core::Duration length) {
    host.freeze();
    later(length, [&host] { host.thaw(); });
  }

  void cut(Host& one, Host& other, core::Duration length) {
    fabric_.network.cut(one, other);
    later(length, [this, &one, &other] { fabric_.network.heal(one, other); });
  }

  void cut_one_way(Host& from, Host& to, core::Duration length) {
    fabric_.network.cut_one_way(from, to);
    later(length, [this, &from, &to] { fabric_.network.heal_one_way(from, to); });
  }

  Host& any_host() {
    const std::uint64_t databases = fleet_.databases().size();
    const std::uint64_t daemons = fleet_.daemons().size();
    const std::uint64_t chosen = fabric_.random.below(databases + daemons + 1);
    if (chosen < databases) {
      return fleet_.databases()[chosen].host();
    }
    return chosen < databases + daemons ? fleet_.daemons()[chosen - databases].host()
                                        : fleet_.control().host();
  }

  void later(core::Duration delay, std::function<void()> action) {
    fabric_.scheduler.after(delay, std::move(action));
  }

  Fabric& fabric_;
  Fleet& fleet_;
  Fault fault_;
  std::size_t group_;
  DatabaseNode* primary_ = nullptr;
  std::vector<DatabaseNode*> replicas_;
  DaemonNode* daemon_ = nullptr;
};

}  // namespace

std::string_view to_string(FaultKind kind) {
  return kNames.at(static_cast<std::size_t>(kind));
}

std::vector<Fault> draw_faults(Random& random, core::Duration from, core::Duration to) {
  std::vector<Fault> faults;
  const std::uint64_t count = 1 + random.below(kMostFaults);
  for (std::uint64_t number = 0; number < count; ++number) {
    Fault fault;
    fault.kind = static_cast<FaultKind>(random.below(static_cast<std::uint64_t>(FaultKind::kDrawn)));
    fault.begins = random.between(from, to);
    fault.length = random.between(kShortest, kLongest);
    faults.push_back(fault);
  }
  return faults;
}

void schedule(Fabric& fabric, Fleet& fleet, const std::vector<Fault>& faults) {
  const core::Instant origin = fabric.scheduler.now();
  for (const Fault& fault : faults) {
    auto injection = std::make_shared<Injection>(fabric, fleet, fault);
    fabric.scheduler.at(origin + fault.begins, [injection] { injection->begin(); });
    // Its later steps need it until the run ends.
    fabric.scheduler.at(origin + std::chrono::hours(1), [injection] {});
  }
}

}  // namespace pipitpond::simulation::group
