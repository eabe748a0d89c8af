#include "pooling/statement_queue.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace pipitpond::pooling {
namespace {

bool belongs_to_tenant(const std::optional<core::TenantName>& tenant) {
  return tenant && !tenant->empty();
}

}  // namespace

EnqueueOutcome StatementQueue::enqueue(core::Instant now, QueueEntry entry, std::size_t max_waiting,
                                       core::Duration average_time) {
  const WaiterNumber number = entry.number;
  const auto insertion_point = std::upper_bound(
      entries_.begin(), entries_.end(), entry,
      [](const QueueEntry& left, const QueueEntry& right) { return left.since < right.since; });
  entries_.insert(insertion_point, std::move(entry));
  EnqueueOutcome outcome;
  if (entries_.size() <= std::max<std::size_t>(max_waiting, 1)) {
    return outcome;
  }
  const std::vector<SortKey> all = sort_keys(now, average_time);
  const WaiterNumber last = std::max_element(all.begin(), all.end())->number;
  remove(last);
  outcome.accepted = last != number;
  if (outcome.accepted) {
    outcome.displaced = last;
  }
  return outcome;
}

std::optional<WaiterNumber> StatementQueue::take_next(
    core::Instant now, core::Duration average_time,
    const std::function<bool(const QueueEntry&)>& can_be_served) {
  const std::vector<SortKey> all = sort_keys(now, average_time);
  std::optional<std::size_t> next;
  for (std::size_t index = 0; index < all.size(); ++index) {
    const bool sooner = !next || all[index] < all[*next];
    if (sooner && can_be_served(entries_[index])) {
      next = index;
    }
  }
  if (!next) {
    return std::nullopt;
  }
  const QueueEntry taken = entries_[*next];
  remove(taken.number);
  note_started(taken.tenant, average_time);
  return taken.number;
}

void StatementQueue::remove(WaiterNumber number) {
  std::erase_if(entries_, [number](const QueueEntry& entry) { return entry.number == number; });
}

void StatementQueue::note_started(const std::optional<core::TenantName>& tenant,
                                  core::Duration average_time) {
  if (!belongs_to_tenant(tenant)) {
    return;
  }
  const core::Duration start = start_of(tenant);
  virtual_time_ = std::max(virtual_time_, start);
  used_until_[*tenant] = start + average_time;
  drop_caught_up_tenants();
}

void StatementQueue::note_used(const std::optional<core::TenantName>& tenant, core::Duration difference) {
  if (belongs_to_tenant(tenant)) {
    used_until_[*tenant] = start_of(tenant) + difference;
    drop_caught_up_tenants();
  }
}

std::vector<QueueEntry> StatementQueue::in_order(core::Instant now, core::Duration average_time) const {
  const std::vector<SortKey> all = sort_keys(now, average_time);
  std::vector<std::size_t> order(all.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(),
            [&all](std::size_t left, std::size_t right) { return all[left] < all[right]; });
  std::vector<QueueEntry> sorted;
  sorted.reserve(order.size());
  for (const std::size_t index : order) {
    sorted.push_back(entries_[index]);
  }
  return sorted;
}

core::Duration StatementQueue::start_of(const std::optional<core::TenantName>& tenant) const {
  if (!belongs_to_tenant(tenant)) {
    return virtual_time_;
  }
  const auto found = used_until_.find(*tenant);
  return found == used_until_.end() ? virtual_time_ : std::max(virtual_time_, found->second);
}

std::vector<StatementQueue::SortKey> StatementQueue::sort_keys(core::Instant now,
                                                               core::Duration average_time) const {
  std::map<std::pair<core::TenantName, std::uint32_t>, std::int64_t> before;
  std::vector<SortKey> all;
  all.reserve(entries_.size());
  for (const QueueEntry& entry : entries_) {
    SortKey key;
    key.late = now + average_time > entry.goal;
    key.priority = entry.priority;
    key.start = start_of(entry.tenant);
    key.since = entry.since;
    key.number = entry.number;
    if (belongs_to_tenant(entry.tenant)) {
      key.start += average_time * before[{*entry.tenant, entry.priority}]++;
    }
    all.push_back(key);
  }
  return all;
}

/// Drops tenants that are no longer ahead of virtual_time_: they are treated like unknown ones.
void StatementQueue::drop_caught_up_tenants() {
  std::erase_if(used_until_, [this](const auto& tenant) { return tenant.second <= virtual_time_; });
}

}  // namespace pipitpond::pooling
