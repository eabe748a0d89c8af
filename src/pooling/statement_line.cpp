#include "pooling/statement_line.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace pipitpond::pooling {
namespace {

bool belongs_to_tenant(const std::optional<core::TenantName>& tenant) {
  return tenant && !tenant->empty();
}

}  // namespace

JoinOutcome StatementLine::join(core::Instant now, LineEntry entry, std::size_t most, core::Duration usual) {
  const WaiterNumber number = entry.number;
  const auto behind = std::upper_bound(
      entries_.begin(), entries_.end(), entry,
      [](const LineEntry& left, const LineEntry& right) { return left.since < right.since; });
  entries_.insert(behind, std::move(entry));
  JoinOutcome outcome;
  if (entries_.size() <= std::max<std::size_t>(most, 1)) {
    return outcome;
  }
  const std::vector<Place> all = places(now, usual);
  const WaiterNumber last = std::max_element(all.begin(), all.end())->number;
  remove(last);
  outcome.joined = last != number;
  if (outcome.joined) {
    outcome.displaced = last;
  }
  return outcome;
}

std::optional<WaiterNumber> StatementLine::take_next(
    core::Instant now, core::Duration usual, const std::function<bool(const LineEntry&)>& can_be_served) {
  const std::vector<Place> all = places(now, usual);
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
  const LineEntry taken = entries_[*next];
  remove(taken.number);
  note_started(taken.tenant, usual);
  return taken.number;
}

void StatementLine::remove(WaiterNumber number) {
  std::erase_if(entries_, [number](const LineEntry& entry) { return entry.number == number; });
}

void StatementLine::note_started(const std::optional<core::TenantName>& tenant, core::Duration usual) {
  if (!belongs_to_tenant(tenant)) {
    return;
  }
  const core::Duration start = start_of(tenant);
  virtual_time_ = std::max(virtual_time_, start);
  used_until_[*tenant] = start + usual;
  forget_caught_up();
}

void StatementLine::note_used(const std::optional<core::TenantName>& tenant, core::Duration difference) {
  if (belongs_to_tenant(tenant)) {
    used_until_[*tenant] = start_of(tenant) + difference;
    forget_caught_up();
  }
}

std::vector<LineEntry> StatementLine::in_order(core::Instant now, core::Duration usual) const {
  const std::vector<Place> all = places(now, usual);
  std::vector<std::size_t> order(all.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::sort(order.begin(), order.end(),
            [&all](std::size_t left, std::size_t right) { return all[left] < all[right]; });
  std::vector<LineEntry> sorted;
  sorted.reserve(order.size());
  for (const std::size_t index : order) {
    sorted.push_back(entries_[index]);
  }
  return sorted;
}

core::Duration StatementLine::start_of(const std::optional<core::TenantName>& tenant) const {
  if (!belongs_to_tenant(tenant)) {
    return virtual_time_;
  }
  const auto found = used_until_.find(*tenant);
  return found == used_until_.end() ? virtual_time_ : std::max(virtual_time_, found->second);
}

std::vector<StatementLine::Place> StatementLine::places(core::Instant now, core::Duration usual) const {
  std::map<std::pair<core::TenantName, std::uint32_t>, std::int64_t> before;
  std::vector<Place> all;
  all.reserve(entries_.size());
  for (const LineEntry& entry : entries_) {
    Place place;
    place.late = now + usual > entry.goal;
    place.priority = entry.priority;
    place.start = start_of(entry.tenant);
    place.since = entry.since;
    place.number = entry.number;
    if (belongs_to_tenant(entry.tenant)) {
      place.start += usual * before[{*entry.tenant, entry.priority}]++;
    }
    all.push_back(place);
  }
  return all;
}

/// Drops tenants that are no longer ahead of virtual_time_: they are treated like unknown ones.
void StatementLine::forget_caught_up() {
  std::erase_if(used_until_, [this](const auto& tenant) { return tenant.second <= virtual_time_; });
}

}  // namespace pipitpond::pooling
