// A semi-synchronous group whose databases the platform runs, for coordinator tests: its databases, daemons
// and committed state. Time advances in ticks.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "failover/coordinator.hpp"

namespace pipitpond::failover {

/// Simulated databases that the platform runs: a fence demotes the database or holds its log instead of
/// raising its term, and an external service promotes.
class SemiSynchronousGroupTest : public testing::Test {
 protected:
  struct Database {
    bool reachable = true;
    bool primary = false;
    core::Term term = 1;
    core::LogPosition received{1, 50};
  };

  SemiSynchronousGroupTest()
      : coordinator_([this](core::Instant, protocol::Revision) { return revision_applied_; }) {
    group_.name = core::GroupName("g");
    group_.self_registered = true;
    group_.sync_replicas = 1;
    group_.connection_limit = 34;
    std::uint16_t port = 7000;
    for (const char* id : {"a", "b", "c"}) {
      protocol::Database database;
      database.id = core::DatabaseId(id);
      database.endpoint = {"127.0.0.1", ++port};
      database.connection_limit = 30;
      database.max_owners = 10;
      database.born = ++births_;
      group_.databases.push_back(database);
    }
    databases_["a"].primary = true;
    for (const char* id : {"d1", "d2", "d3", "d4"}) {
      configuration_.daemons[core::DaemonId(id)].id = core::DaemonId(id);
    }
    commit();
    coordinator_.on_leadership(now_, true);
  }

  void commit() {
    ++configuration_.revision;
    configuration_.groups[group_.name] = group_;
    coordinator_.on_configuration(now_, configuration_);
  }

  [[nodiscard]] std::string primary() const {
    return group_.terms.empty() ? "" : group_.terms.back().primary.value();
  }

  void suspect(const std::string& id, int daemons, protocol::Suspicion suspicion) {
    for (int number = 1; number <= 4; ++number) {
      std::vector<protocol::SuspicionReport> reports;
      if (number <= daemons) {
        reports.push_back(
            protocol::SuspicionReport{core::DatabaseId(id), suspicion, group_.terms.back().term, 0});
      }
      coordinator_.on_suspicions(now_, core::DaemonId("d" + std::to_string(number)), reports);
    }
  }

  void run(core::Duration duration, int suspecting_daemons = 0,
           protocol::Suspicion suspicion = protocol::Suspicion::kUnreachable) {
    const core::Instant end = now_ + duration;
    while (now_ < end) {
      now_ += kTickInterval;
      if (!primary().empty()) {
        suspect("a", primary() == "a" ? suspecting_daemons : 0, suspicion);
      }
      if (failing_ && now_ >= fails_at_) {
        coordinator_.on_promote_failed(now_, failing_->group, failing_->database, failing_->term);
        failing_.reset();
      }
      coordinator_.tick(now_);
      for (const Effect& effect : coordinator_.take_effects()) {
        std::visit([this](const auto& one) { carry_out(one); }, effect);
      }
    }
  }

  void carry_out(const ProbeDatabase& probe) {
    ++probes_;
    const Database& database = databases_[probe.database.value()];
    if (!database.reachable) {
      coordinator_.on_probe_failed(now_, probe.database);
      return;
    }
    database::StatusAnswer answer;
    answer.database = probe.database;
    answer.role = database.primary ? database::Role::kPrimary : database::Role::kReplica;
    answer.term = database.term;
    answer.received = database.received;
    answer.committed = database.received;
    coordinator_.on_probe_answer(now_, answer);
  }
  void carry_out(const FenceDatabase& fence) {
    ++fences_;
    Database& database = databases_[fence.database.value()];
    if (!database.reachable) {
      coordinator_.on_fence_failed(now_, fence.group, fence.database, fence.term);
      return;
    }
    database.primary = false;
    coordinator_.on_fence_answer(now_, fence,
                                 database::FenceAnswer{fence.database, fence.term, database.received, false});
  }
  void carry_out(const PromoteDatabase& promote) {
    promoted_.push_back(promote.database.value());
    revision_applied_ = revision_applied_ && !daemon_joins_at_order_;
    if (promotions_fail_) {
      failing_ = promote;
      fails_at_ = now_ + promotions_take_;
      return;
    }
    databases_[promote.database.value()].primary = true;
    databases_[promote.database.value()].term = ++newest_term_;
    coordinator_.on_promote_answer(now_, promote.group,
                                   database::PromoteAnswer{promote.database, promote.term,
                                                           databases_[promote.database.value()].received});
  }
  void carry_out(const DemoteDatabase& demote) {
    Database& database = databases_[demote.database.value()];
    database.primary = database.primary && database.term >= demote.term;
    demoted_to_.push_back(demote.term);
  }
  void carry_out(const ProposeBeginPrimaryChange& begin) {
    group_.terms.push_back(protocol::TermStart{begin.new_term, {}, {}});
    commit();
  }
  void carry_out(const ProposeCompletePrimaryChange& complete) {
    if (protocol::find_database(group_, complete.primary) == nullptr) {
      return;  // As control's state machine refuses it.
    }
    group_.terms.back().primary = complete.primary;
    commit();
  }
  void carry_out(const ProposeAdoptPrimary& adopt) {
    group_.terms.push_back(protocol::TermStart{adopt.term, adopt.primary, {}});
    commit();
  }
  void carry_out(const ProposeRemoveDatabase& remove) {
    std::erase_if(group_.databases, [&](const protocol::Database& one) { return one.id == remove.database; });
    commit();
  }
  void carry_out(const ProposeProveDatabaseLog& proof) {
    EXPECT_EQ(proof.born, member(proof.database.value()).born);
    member(proof.database.value()).log_unproven = false;
    commit();
  }

  protocol::Database& member(const std::string& id) {
    return *std::find_if(group_.databases.begin(), group_.databases.end(),
                         [&](const protocol::Database& one) { return one.id.value() == id; });
  }

  /// The database starts again under its id, as its first heartbeat says.
  void start_again(const std::string& id, core::LogPosition received) {
    databases_[id].primary = false;
    databases_[id].received = received;
    member(id).born = ++births_;
    member(id).log_unproven = true;
    commit();
  }

  core::Instant now_ = core::Instant(std::chrono::hours(1));
  bool revision_applied_ = true;
  bool daemon_joins_at_order_ = false;  ///< It has not applied the change yet.
  Coordinator coordinator_;
  protocol::Configuration configuration_;
  protocol::Group group_;
  std::vector<core::Term> demoted_to_;
  bool promotions_fail_ = false;
  core::Duration promotions_take_{};
  std::optional<PromoteDatabase> failing_;
  core::Instant fails_at_;
  std::uint64_t births_ = 0;
  core::Term newest_term_ = 1;
  std::size_t probes_ = 0;
  std::size_t fences_ = 0;
  std::map<std::string, Database> databases_;
  std::vector<std::string> promoted_;
};

}  // namespace pipitpond::failover
