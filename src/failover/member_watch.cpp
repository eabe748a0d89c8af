#include "failover/member_probes.hpp"

#include <algorithm>

#include "protocol/tunables.hpp"

namespace pipitpond::failover {

void MemberWatch::set_members(const protocol::Group& group) {
  std::map<core::DatabaseId, Member> members;
  for (const protocol::Database& database : group.databases) {
    const auto known = members_.find(database.id);
    if (known != members_.end() && known->second.endpoint == database.endpoint) {
      members[database.id] = known->second;
    }
    members[database.id].endpoint = database.endpoint;
  }
  members_ = std::move(members);
  group_ = group.name;
}

void MemberWatch::reset() {
  for (auto& [id, member] : members_) {
    const core::Endpoint endpoint = member.endpoint;
    member = Member{};
    member.endpoint = endpoint;
  }
  last_probe_call_.reset();
}

void MemberWatch::probe(core::Instant now, core::Duration interval, std::vector<Effect>& effects) {
  const bool stood_still = last_probe_call_.has_value() && now - *last_probe_call_ > protocol::kProbeTimeout;
  last_probe_call_ = now;
  for (auto& [id, member] : members_) {
    if (member.sent.has_value() && stood_still) {
      member.sent.reset();
    }
    if (member.sent.has_value() && now - *member.sent >= protocol::kProbeTimeout) {
      member.sent.reset();
      ++member.failures;
    }
    const bool due = !member.last_sent.has_value() || now - *member.last_sent >= interval;
    if (!member.sent.has_value() && due) {
      member.sent = now;
      member.last_sent = now;
      effects.emplace_back(ProbeDatabase{id, member.endpoint, group_});
    }
  }
}

void MemberWatch::on_answer(core::Instant now, const database::StatusAnswer& status) {
  const auto found = members_.find(status.database);
  if (found == members_.end()) {
    return;
  }
  Member& member = found->second;
  member.sent.reset();
  member.failures = 0;
  if (!member.status.has_value()) {
    member.first_answered = now;
    member.advanced = now;
  } else if (status.received > member.status->received) {
    member.advanced = now;
  }
  member.status = status;
  member.answered = now;
}

void MemberWatch::on_failure(core::Instant, const core::DatabaseId& database) {
  const auto found = members_.find(database);
  if (found == members_.end() || !found->second.sent.has_value()) {
    return;
  }
  found->second.sent.reset();
  ++found->second.failures;
}

bool MemberWatch::reachable(core::Instant now, const core::DatabaseId& database) const {
  const auto found = members_.find(database);
  return found != members_.end() && found->second.status.has_value() && found->second.failures == 0 &&
         now - found->second.answered <= kFreshAnswer;
}

std::size_t MemberWatch::count_reachable(core::Instant now, const core::DatabaseId& except) const {
  return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [&](const auto& entry) {
    return entry.first != except && reachable(now, entry.first);
  }));
}

bool MemberWatch::silent(const core::DatabaseId& database) const {
  const auto found = members_.find(database);
  return found != members_.end() && found->second.failures >= protocol::kProbeFailuresToSuspect;
}

bool MemberWatch::doubtful(const core::DatabaseId& database) const {
  const auto found = members_.find(database);
  return found != members_.end() && found->second.failures > 0;
}

const database::StatusAnswer* MemberWatch::status(const core::DatabaseId& database) const {
  const auto found = members_.find(database);
  if (found == members_.end() || !found->second.status.has_value()) {
    return nullptr;
  }
  return &*found->second.status;
}

bool MemberWatch::replicas_advance(core::Instant now, const core::DatabaseId& primary) const {
  return std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
    return entry.first != primary && reachable(now, entry.first) &&
           now - entry.second.advanced < kProgressWindow;
  });
}

}  // namespace pipitpond::failover
