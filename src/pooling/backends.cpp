#include "pooling/backends.hpp"

#include <algorithm>
#include <utility>

namespace pipitpond::pooling {

Backends::Backends(boost::asio::io_context& io, BackendConnector& connector, agent::Agent& agent,
                   core::DaemonId self, core::ZoneName zone)
    : io_(io),
      connector_(connector),
      agent_(agent),
      self_(std::move(self)),
      zone_(std::move(zone)),
      forwarder_(io, self_, zone_),
      rounds_(io, [this](std::shared_ptr<BackendPool> pool,
                         core::Duration timeout) { return ask_status(std::move(pool), timeout); }),
      proof_requests_(io) {
  rounds_.on_proof(
      [this](const core::GroupName& group, const ShownPrimary& shown) { note_proof(group, shown); });
  rounds_.on_reply([this](const core::GroupName& group, const PrimaryProof& proof, core::Instant begun) {
    note_round_reply(group, proof, begun);
  });
  proof_requests_.on_proof(
      [this](const core::GroupName& group, const ShownPrimary& shown) { rounds_.add_proof(group, shown); });
}

// --- Configuration

void Backends::apply(const protocol::Configuration& configuration) {
  if (closed_) {
    return;
  }
  for (auto& [name, view] : groups_) {
    if (!configuration.groups.contains(name)) {
      for (auto& [id, member] : view.members) {
        member.pool->close();
      }
    }
  }
  std::erase_if(groups_, [&](const auto& entry) { return !configuration.groups.contains(entry.first); });
  for (const auto& [name, group] : configuration.groups) {
    apply_group(group);
  }
  set_shares(configuration);
  forwarder_.apply(configuration);
}

void Backends::apply_group(const protocol::Group& group) {
  GroupView& view = groups_[group.name];
  std::map<core::DatabaseId, Member> members;
  for (const protocol::Database& database : group.databases) {
    Member member;
    const auto known = view.members.find(database.id);
    const bool same_place =
        known != view.members.end() && known->second.pool->address().endpoint == database.endpoint;
    if (same_place) {
      member.pool = known->second.pool;
      view.members.erase(known);
    } else {
      const BackendAddress address{database.endpoint, group.name, database.id};
      member.pool = std::make_shared<BackendPool>(io_, connector_, address, database.zone);
    }
    member.pool->set_slots(database.slots);
    member.draining = database.draining;
    member.departed = database.departed;
    member.log_unproven = database.log_unproven;
    members.emplace(database.id, std::move(member));
  }
  for (auto& [id, gone] : view.members) {
    gone.pool->close();
  }
  view.members = std::move(members);
  view.synchronous_replication = group.sync_replicas > 0;
  apply_primary(view, group);
}

void Backends::apply_primary(GroupView& view, const protocol::Group& group) {
  const protocol::TermStart present = group.terms.empty() ? protocol::TermStart{} : group.terms.back();
  if (present.term != view.term) {
    for (auto& [id, member] : view.members) {
      member.pool->health().on_new_term();
    }
  }
  if (present.term != view.term || present.primary != view.primary) {
    view.primary_applied = core::BootClock::now();
    view.reached = present.start;
  }
  view.term = present.term;
  view.primary = present.primary;
}

void Backends::close() {
  closed_ = true;
  forwarder_.close();
  for (auto& [name, view] : groups_) {
    for (auto& [id, member] : view.members) {
      member.pool->close();
    }
  }
}

void Backends::tick(core::Instant now) {
  if (closed_) {
    return;
  }
  for (auto& [name, view] : groups_) {
    renew_exclusion(view, now);
    for (auto& [id, member] : view.members) {
      if (!member.departed) {
        member.pool->tick(now);
      }
    }
  }
  forwarder_.tick(now);
  track_missing_primaries(now);
  report_suspicions(now);
}

// --- Lookups

const Backends::GroupView* Backends::find(const core::GroupName& group) const {
  const auto found = groups_.find(group);
  return found == groups_.end() ? nullptr : &found->second;
}

std::optional<BackendChoice> Backends::choice_for(const core::DatabaseId& database) const {
  for (const auto& [name, view] : groups_) {
    const auto found = view.members.find(database);
    if (found != view.members.end()) {
      return BackendChoice{found->second.pool, database == view.primary, view.term, view.reached};
    }
  }
  return std::nullopt;
}

std::shared_ptr<BackendPool> Backends::pool(const core::DatabaseId& database) const {
  for (const auto& [name, view] : groups_) {
    const auto found = view.members.find(database);
    if (found != view.members.end()) {
      return found->second.pool;
    }
  }
  return nullptr;
}

std::size_t Backends::connections() const {
  std::size_t held = 0;
  for (const auto& pool : pools()) {
    held += pool->held();
  }
  return held;
}

std::vector<std::shared_ptr<BackendPool>> Backends::pools() const {
  std::vector<std::shared_ptr<BackendPool>> pools;
  for (const auto& [name, view] : groups_) {
    for (const auto& [id, member] : view.members) {
      pools.push_back(member.pool);
    }
  }
  return pools;
}

}  // namespace pipitpond::pooling
