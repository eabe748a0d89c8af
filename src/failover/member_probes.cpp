#include "failover/member_probes.hpp"

#include <algorithm>

#include "protocol/tunables.hpp"

namespace pipitpond::failover {

void MemberProbes::set_members(core::Instant now, const protocol::Group& group) {
  std::map<core::DatabaseId, Member> members;
  for (const protocol::Database& database : group.databases) {
    const auto known = members_.find(database.id);
    const bool is_known = known != members_.end();
    const bool started_again = is_known && known->second.born > 0 && known->second.born != database.born;
    Member& member = members[database.id];
    if (started_again) {
      member.answers_count_from = now + kLongestProbe;
    } else if (is_known && known->second.endpoint == database.endpoint) {
      member = known->second;
    }
    member.endpoint = database.endpoint;
    member.born = database.born;
  }
  members_ = std::move(members);
  group_ = group.name;
}

void MemberProbes::reset() {
  for (auto& [id, member] : members_) {
    Member cleared;
    cleared.endpoint = member.endpoint;
    cleared.born = member.born;
    cleared.answers_count_from = member.answers_count_from;
    member = cleared;
  }
  last_probe_call_.reset();
}

void MemberProbes::probe(core::Instant now, const Interval& interval, std::vector<Effect>& effects) {
  const bool process_stalled =
      last_probe_call_.has_value() && now - *last_probe_call_ > protocol::kProbeTimeout;
  last_probe_call_ = now;
  for (auto& [id, member] : members_) {
    if (member.in_flight_since.has_value() && process_stalled) {
      member.in_flight_since.reset();
    }
    if (member.in_flight_since.has_value() && now - *member.in_flight_since >= protocol::kProbeTimeout) {
      member.in_flight_since.reset();
      ++member.failures;
    }
    const bool due = !member.last_sent.has_value() || now - *member.last_sent >= interval(id);
    if (!member.in_flight_since.has_value() && due) {
      member.in_flight_since = now;
      member.last_sent = now;
      effects.emplace_back(ProbeDatabase{id, member.endpoint, group_});
    }
  }
}

void MemberProbes::on_answer(core::Instant now, const database::StatusAnswer& status) {
  const auto found = members_.find(status.database);
  if (found == members_.end()) {
    return;
  }
  Member& member = found->second;
  member.in_flight_since.reset();
  if (now < member.answers_count_from) {
    return;
  }
  member.failures = 0;
  if (!member.status.has_value()) {
    member.first_answered = now;
    member.last_advanced = now;
  } else if (status.received > member.status->received) {
    member.last_advanced = now;
  }
  member.status = status;
  member.last_answered = now;
}

void MemberProbes::on_failure(core::Instant, const core::DatabaseId& database) {
  const auto found = members_.find(database);
  if (found == members_.end() || !found->second.in_flight_since.has_value()) {
    return;
  }
  found->second.in_flight_since.reset();
  ++found->second.failures;
}

bool MemberProbes::reachable(core::Instant now, const core::DatabaseId& database) const {
  const auto found = members_.find(database);
  return found != members_.end() && found->second.status.has_value() && found->second.failures == 0 &&
         now - found->second.last_answered <= kProbeAnswerMaxAge;
}

std::size_t MemberProbes::count_reachable(core::Instant now, const core::DatabaseId& excluded) const {
  return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [&](const auto& entry) {
    return entry.first != excluded && reachable(now, entry.first);
  }));
}

bool MemberProbes::suspected_unreachable(const core::DatabaseId& database) const {
  const auto found = members_.find(database);
  return found != members_.end() && found->second.failures >= protocol::kProbeFailuresToSuspect;
}

bool MemberProbes::last_probe_failed(const core::DatabaseId& database) const {
  const auto found = members_.find(database);
  return found != members_.end() && found->second.failures > 0;
}

const database::StatusAnswer* MemberProbes::status(const core::DatabaseId& database) const {
  const auto found = members_.find(database);
  if (found == members_.end() || !found->second.status.has_value()) {
    return nullptr;
  }
  return &*found->second.status;
}

bool MemberProbes::answered_since(const core::DatabaseId& database, core::Instant moment) const {
  const auto found = members_.find(database);
  return found != members_.end() && found->second.status.has_value() &&
         found->second.last_answered >= moment + kLongestProbe;
}

bool MemberProbes::replicas_advancing(core::Instant now, const core::DatabaseId& primary) const {
  return std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
    return entry.first != primary && reachable(now, entry.first) &&
           now - entry.second.last_advanced < kReplicationProgressWindow;
  });
}

}  // namespace pipitpond::failover
