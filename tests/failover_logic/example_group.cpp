#include "failover_logic/example_group.hpp"

#include <gtest/gtest.h>

#include <memory>

#include "protocol/tunables.hpp"

namespace pipitpond::failover {

namespace {

const core::GroupName kGroup("g");

core::DaemonId owner_id(int number) {
  return core::DaemonId("o" + std::to_string(number));
}

}  // namespace

ExampleGroup::ExampleGroup(int owners) : coordinator_(std::make_unique<Coordinator>()), owners_(owners) {
  protocol::Group& group = configuration_.groups[kGroup];
  group.name = kGroup;
  for (const char* name : {"a", "b", "c"}) {
    protocol::Database declared;
    declared.id = core::DatabaseId(name);
    declared.endpoint = core::Endpoint{"127.0.0.1", static_cast<std::uint16_t>(name[0])};
    declared.connection_limit = 35;
    declared.slots = 5;
    group.databases.push_back(declared);
    databases_[declared.id];
  }
  for (int number = 1; number <= owners_; ++number) {
    configuration_.daemons[owner_id(number)].id = owner_id(number);
  }
  coordinator_->on_configuration(now_, configuration_);
  coordinator_->on_leadership(now_, true);
}

const protocol::Group& ExampleGroup::group() const {
  return configuration_.groups.at(kGroup);
}

std::string ExampleGroup::primary() const {
  const auto current = protocol::current_primary(group());
  return current.has_value() ? current->primary.value() : "";
}

core::Term ExampleGroup::term() const {
  return group().terms.empty() ? 0 : group().terms.back().term;
}

void ExampleGroup::run(core::Duration duration) {
  const core::Instant end = now_ + duration;
  while (now_ < end) {
    step();
  }
}

bool ExampleGroup::run_until_primary_differs(const std::string& name) {
  const core::Instant end = now_ + std::chrono::seconds(10);
  while (now_ < end) {
    step();
    if (!primary().empty() && primary() != name) {
      return true;
    }
  }
  return false;
}

void ExampleGroup::set_draining(const std::string& name, bool draining) {
  for (protocol::Database& one : configuration_.groups[kGroup].databases) {
    if (one.id.value() == name) {
      one.draining = draining;
    }
  }
  commit();
}

void ExampleGroup::change_leader() {
  coordinator_ = std::make_unique<Coordinator>();
  coordinator_->on_configuration(now_, configuration_);
  coordinator_->on_leadership(now_, true);
}

void ExampleGroup::step() {
  now_ += kTickInterval;
  if (now_ >= next_heartbeat_) {
    send_heartbeats();
    next_heartbeat_ = now_ + protocol::kHeartbeatInterval;
  }
  coordinator_->tick(now_);
  for (const Effect& effect : coordinator_->take_effects()) {
    carry_out(effect);
  }
}

void ExampleGroup::send_heartbeats() {
  const auto observations = owner_observations();
  for (int number = 1; number <= owners_; ++number) {
    if (owners_without_heartbeat_.contains(number)) {
      continue;
    }
    const auto forced = forced_reports_.find(number);
    coordinator_->on_suspicions(now_, owner_id(number),
                                forced == forced_reports_.end() ? observations : forced->second);
  }
}

std::vector<protocol::SuspicionReport> ExampleGroup::owner_observations() const {
  std::vector<protocol::SuspicionReport> observations;
  for (const auto& [id, one] : databases_) {
    if (!one.reachable_by_owners) {
      observations.push_back(report(id.value(), protocol::Suspicion::kUnreachable, term()));
    } else if (one.leaving) {
      observations.push_back(report(id.value(), protocol::Suspicion::kLeaving, term()));
    } else if (id.value() == primary() &&
               one.stalled_ms >= core::to_millis(protocol::kReplicationStallLimit)) {
      observations.push_back(report(id.value(), protocol::Suspicion::kReplicationStalled, term()));
    }
  }
  return observations;
}

void ExampleGroup::carry_out(const Effect& effect) {
  std::visit(
      [this](const auto& one) {
        using EffectType = std::decay_t<decltype(one)>;
        if constexpr (std::is_same_v<EffectType, ProbeDatabase>) {
          probe(one);
        } else if constexpr (std::is_same_v<EffectType, FenceDatabase>) {
          fence(one);
        } else if constexpr (std::is_same_v<EffectType, PromoteDatabase>) {
          promote(one);
        } else if constexpr (std::is_same_v<EffectType, ProposeBeginPrimaryChange>) {
          begin(one);
        } else if constexpr (std::is_same_v<EffectType, ProposeCompletePrimaryChange>) {
          complete(one);
        }
      },
      effect);
}

void ExampleGroup::probe(const ProbeDatabase& effect) {
  const ExampleDatabase& one = databases_.at(effect.database);
  if (!one.reachable) {
    coordinator_->on_probe_failed(now_, effect.database);
    return;
  }
  database::StatusAnswer status;
  status.database = effect.database;
  status.role = one.role;
  status.term = one.term;
  status.received = one.received;
  status.committed = one.received;
  status.leaving = one.leaving;
  status.replication_stalled_ms = one.stalled_ms;
  coordinator_->on_probe_answer(now_, status);
}

void ExampleGroup::fence(const FenceDatabase& effect) {
  ExampleDatabase& one = databases_.at(effect.database);
  EXPECT_LE(effect.term, term()) << "fence sent at a term that is not committed";
  if (!one.reachable) {
    coordinator_->on_fence_failed(now_, kGroup, effect.database, effect.term);
    return;
  }
  if (one.term > effect.term) {
    coordinator_->on_refused(now_, kGroup, effect.database, effect.term, one.term);
    return;
  }
  if (one.term < effect.term) {
    one.term = effect.term;
    one.role = database::Role::kFenced;
  }
  coordinator_->on_fence_answer(now_, effect,
                                database::FenceAnswer{effect.database, one.term, one.received, one.leaving});
}

void ExampleGroup::promote(const PromoteDatabase& effect) {
  ExampleDatabase& one = databases_.at(effect.database);
  promoted_by_term_[effect.term].insert(effect.database);
  EXPECT_EQ(promoted_by_term_[effect.term].size(), 1U)
      << "more than one database was asked to become primary of term " << effect.term;
  EXPECT_EQ(effect.members.size(), 3U);
  if (!one.reachable) {
    coordinator_->on_promote_failed(now_, kGroup, effect.database, effect.term);
    return;
  }
  if (one.term > effect.term) {
    coordinator_->on_refused(now_, kGroup, effect.database, effect.term, one.term);
    return;
  }
  const core::LogPosition start = one.received;
  one.role = database::Role::kPrimary;
  if (one.promote_answers_lost) {
    return;
  }
  coordinator_->on_promote_answer(now_, kGroup, database::PromoteAnswer{effect.database, effect.term, start});
}

void ExampleGroup::begin(const ProposeBeginPrimaryChange& effect) {
  if (drop_proposals_ || term() != effect.expected_term) {
    return;
  }
  ++begun_terms_;
  configuration_.groups[kGroup].terms.push_back(protocol::TermStart{effect.new_term, {}, {}});
  commit();
}

void ExampleGroup::complete(const ProposeCompletePrimaryChange& effect) {
  if (drop_proposals_ || term() != effect.term || !primary().empty()) {
    return;
  }
  protocol::TermStart& last = configuration_.groups[kGroup].terms.back();
  last.primary = effect.primary;
  last.start = effect.start;
  commit();
}

void ExampleGroup::commit() {
  ++configuration_.revision;
  coordinator_->on_configuration(now_, configuration_);
}

}  // namespace pipitpond::failover
