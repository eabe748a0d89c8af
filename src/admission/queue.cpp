#include "admission/queue.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pipitpond::admission {
namespace {

/// Weight of a new observation in the moving average of service times.
constexpr double kServiceWeight = 0.1;
/// A tenant has been active lately when it used this part of a slot on average.
constexpr double kActiveSlots = 0.05;
/// One slot is kept from a tenant whose statements take this many times as long as those of another active
/// one.
constexpr int kSlowFactor = 2;
/// A tenant whose faded usage is below this, in slot-microseconds, is forgotten when it has nothing here.
constexpr double kForgottenUsage = 1.0;
constexpr double kMicrosPerMilli = 1000.0;
/// When to come back to an owner that has not been granted slots yet, milliseconds: a few heartbeats.
constexpr std::uint32_t kNoSlotsRetryAfterMs = 100;

core::Duration micros(double count) {
  return core::Duration(static_cast<core::Duration::rep>(count));
}

core::Duration blend(core::Duration average, core::Duration seen) {
  return average + micros(static_cast<double>((seen - average).count()) * kServiceWeight);
}

}  // namespace

Queue::Queue(QueueOptions options) : options_(options), service_(options.initial_service) {}

Actions Queue::submit(Ticket ticket, const core::TenantName& caller, core::Instant deadline,
                      core::Instant now) {
  Actions actions;
  fade(now);
  const core::TenantName tenant = counted_name(caller);
  Tenant& state = tenant_at(tenant, now);
  if (state.waiting.empty() && may_start(tenant, state)) {
    start(tenants_.find(tenant), ticket, now);
    actions.started.push_back(ticket);
    return actions;
  }
  if (!can_wait(tenant, state, deadline, now)) {
    actions.refused.push_back(refuse(tenant, state, ticket));
    return actions;
  }
  enqueue(tenant, state, LatestStart{deadline - state.service, ticket});
  dispatch(now, actions);
  return actions;
}

Actions Queue::finish(Ticket ticket, bool served, core::Instant now) {
  Actions actions;
  const auto found = running_.find(ticket);
  if (found == running_.end()) {
    return actions;
  }
  fade(now);
  const Running ended = found->second;
  running_.erase(found);
  const core::Duration took = now - ended.started_at;
  Tenant& tenant = tenant_at(ended.tenant, now);
  --tenant.running;
  tenant.usage = std::max(0.0, tenant.usage + static_cast<double>((took - ended.charged).count()));
  if (served) {
    service_ = blend(service_, took);
    tenant.service = blend(tenant.service, took);
  }
  dispatch(now, actions);
  return actions;
}

Actions Queue::cancel(Ticket ticket, core::Instant now) {
  Actions actions;
  dequeue(ticket);
  dispatch(now, actions);
  return actions;
}

Actions Queue::set_slots(std::uint32_t slots, core::Instant now) {
  Actions actions;
  options_.slots = slots;
  fade(now);
  dispatch(now, actions);
  return actions;
}

Actions Queue::refuse_all(const core::Error& error) {
  Actions actions;
  for (const LatestStart& latest_start : latest_starts_) {
    actions.refused.push_back(Refusal{latest_start.ticket, error});
  }
  for (const Refusal& refusal : actions.refused) {
    dequeue(refusal.ticket);
  }
  return actions;
}

Actions Queue::expire(core::Instant now) {
  Actions actions;
  fade(now);
  dispatch(now, actions);
  return actions;
}

std::optional<core::Instant> Queue::next_check() const {
  if (latest_starts_.empty()) {
    return std::nullopt;
  }
  return latest_starts_.begin()->at;
}

void Queue::set_weight(const core::TenantName& tenant, double weight) {
  weights_[tenant] = weight;
}

core::Duration Queue::expected_wait(const core::TenantName& tenant) const {
  const auto found = tenants_.find(counted_name(tenant));
  if (waiting_.empty() && running_.size() < options_.slots) {
    return core::Duration(0);
  }
  const std::size_t ahead = found == tenants_.end() ? 0 : found->second.waiting.size();
  return time_for(static_cast<double>(ahead + 1), tenant);
}

core::TenantName Queue::counted_name(const core::TenantName& name) const {
  const bool is_known = tenants_.contains(name) || tenants_.size() < kMaxTenants;
  return is_known ? name : core::TenantName();
}

Queue::Tenant& Queue::tenant_at(const core::TenantName& name, core::Instant now) {
  const auto [entry, is_new] = tenants_.try_emplace(name);
  if (is_new) {
    entry->second.faded_at = now;
    entry->second.service = service_;
  }
  return entry->second;
}

void Queue::fade(core::Instant now) {
  const Totals sums = totals();
  const auto memory = static_cast<double>(options_.usage_memory.count());
  for (auto& [name, tenant] : tenants_) {
    const auto elapsed = static_cast<double>(std::max(core::Duration(0), now - tenant.faded_at).count());
    const double service = std::max(1.0, static_cast<double>(tenant.service.count()));
    tenant.refused = std::max(0.0, tenant.refused - elapsed * available_slots(name, sums) / service);
    tenant.usage *= std::exp(-elapsed / memory);
    tenant.faded_at = std::max(tenant.faded_at, now);
  }
  std::erase_if(tenants_, [](const auto& entry) {
    const Tenant& tenant = entry.second;
    return tenant.running == 0 && tenant.waiting.empty() && tenant.usage < kForgottenUsage &&
           tenant.refused < 1.0;
  });
}

bool Queue::can_wait(const core::TenantName& name, const Tenant& tenant, core::Instant deadline,
                     core::Instant now) const {
  const core::Duration wait = expected_wait(name);
  // The wait is only estimated: a request is let in when even twice the wait would leave time to serve it, so
  // that few are given up after having waited.
  const bool in_time = wait <= options_.max_wait && now + 2 * wait + tenant.service <= deadline;
  const std::size_t part = std::max<std::size_t>(1, options_.max_queued / tenants_.size());
  return in_time && tenant.waiting.size() < part;
}

void Queue::enqueue(const core::TenantName& name, Tenant& tenant, const LatestStart& latest_start) {
  tenant.waiting.push_back(latest_start.ticket);
  latest_starts_.insert(latest_start);
  waiting_.emplace(latest_start.ticket, Waiting{name, latest_start.at});
}

Queue::Tenants::iterator Queue::dequeue(Ticket ticket) {
  const auto found = waiting_.find(ticket);
  if (found == waiting_.end()) {
    return tenants_.end();
  }
  const auto tenant = tenants_.find(found->second.tenant);
  std::erase(tenant->second.waiting, ticket);
  latest_starts_.erase(LatestStart{found->second.latest_start, ticket});
  waiting_.erase(found);
  return tenant;
}

void Queue::dispatch(core::Instant now, Actions& actions) {
  refuse_hopeless(now, actions);
  while (true) {
    const auto next = next_tenant();
    if (next == tenants_.end()) {
      return;
    }
    const Ticket ticket = next->second.waiting.front();
    const auto tenant = dequeue(ticket);
    start(tenant, ticket, now);
    actions.started.push_back(ticket);
  }
}

void Queue::start(Tenants::iterator tenant, Ticket ticket, core::Instant now) {
  running_.emplace(ticket, Running{tenant->first, now, tenant->second.service});
  ++tenant->second.running;
  // Charged in advance, so that a tenant can't take all free slots before its first statement ends.
  tenant->second.usage += static_cast<double>(tenant->second.service.count());
}

Queue::Tenants::iterator Queue::next_tenant() {
  auto best = tenants_.end();
  double least = 0.0;
  for (auto tenant = tenants_.begin(); tenant != tenants_.end(); ++tenant) {
    if (tenant->second.waiting.empty() || !may_start(tenant->first, tenant->second)) {
      continue;
    }
    const double usage = tenant->second.usage / weight(tenant->first);
    if (best == tenants_.end() || usage < least) {
      best = tenant;
      least = usage;
    }
  }
  return best;
}

void Queue::refuse_hopeless(core::Instant now, Actions& actions) {
  while (!latest_starts_.empty() && now > latest_starts_.begin()->at) {
    const Ticket ticket = latest_starts_.begin()->ticket;
    const auto tenant = dequeue(ticket);
    actions.refused.push_back(refuse(tenant->first, tenant->second, ticket));
  }
}

Refusal Queue::refuse(const core::TenantName& name, Tenant& tenant, Ticket ticket) const {
  if (options_.slots == 0) {
    // Not a matter of load: the share of a new owner grows as soon as the others have given theirs back.
    return Refusal{ticket, core::Error{core::ErrorKind::kUnavailable,
                                       "This daemon has not been granted a slot of the database yet.",
                                       "Send it again after the given time.", kNoSlotsRetryAfterMs}};
  }
  // Each refused request is told a later time, in its turn, so that they do not all come back at once.
  tenant.refused += 1.0;
  const double ahead = static_cast<double>(tenant.waiting.size()) / 2 + tenant.refused;
  const core::Duration wait = std::min(kMaxRetryAfter, time_for(ahead, name));
  const auto wait_ms = static_cast<std::uint32_t>(
      std::ceil(static_cast<double>(std::max(wait, tenant.service).count()) / kMicrosPerMilli));
  return Refusal{ticket, core::Error{core::ErrorKind::kOverloaded,
                                     "The database's queue is too long for the request to be served in time.",
                                     "Send it again after the given time, or with a later deadline.",
                                     std::max(1U, wait_ms)}};
}

double Queue::weight(const core::TenantName& name) const {
  const auto found = weights_.find(name);
  return found == weights_.end() ? 1.0 : found->second;
}

core::Duration Queue::service_of(const core::TenantName& name) const {
  const auto found = tenants_.find(name);
  return found == tenants_.end() ? service_ : found->second.service;
}

std::uint32_t Queue::slot_limit(const core::TenantName& name, const Tenant& tenant) const {
  // Statements are not interrupted: if slow ones held every slot, a quick one would wait for the end of a
  // slow one however entitled its tenant is.
  const double active_usage = kActiveSlots * static_cast<double>(options_.usage_memory.count());
  const bool delays_others =
      std::any_of(tenants_.begin(), tenants_.end(), [&](const Tenants::value_type& other) {
        return other.first != name && other.second.usage > active_usage &&
               other.second.service * kSlowFactor < tenant.service;
      });
  return delays_others && options_.slots > 1 ? options_.slots - 1 : options_.slots;
}

bool Queue::may_start(const core::TenantName& name, const Tenant& tenant) const {
  return running_.size() < options_.slots && tenant.running < slot_limit(name, tenant);
}

Queue::Totals Queue::totals() const {
  Totals sums;
  for (const auto& [name, tenant] : tenants_) {
    sums.weight += weight(name);
    sums.usage += tenant.usage;
  }
  return sums;
}

double Queue::available_slots(const core::TenantName& name, const Totals& totals) const {
  const auto found = tenants_.find(name);
  const double own_usage = found == tenants_.end() ? 0.0 : found->second.usage;
  const double total_weight = found == tenants_.end() ? totals.weight + weight(name) : totals.weight;
  const double used_by_others =
      (totals.usage - own_usage) / static_cast<double>(options_.usage_memory.count());
  const double slots = options_.slots;
  // What others leave unused is this tenant's; in no case is it less than its share.
  return std::max(slots * weight(name) / total_weight, slots - used_by_others);
}

core::Duration Queue::time_for(double requests, const core::TenantName& name) const {
  const double slots = available_slots(name, totals());
  if (slots <= 0.0) {
    return kMaxRetryAfter;
  }
  return micros(requests * static_cast<double>(service_of(name).count()) / slots);
}

}  // namespace pipitpond::admission
