#include "ownership/budget_tracker.hpp"

#include <algorithm>
#include <utility>

namespace pipitpond::ownership {

namespace {

Budget smaller(const Budget& left, const Budget& right) {
  return Budget{std::min(left.connections, right.connections), std::min(left.slots, right.slots)};
}

}  // namespace

BudgetTracker::BudgetTracker(core::DaemonId self, std::uint64_t incarnation)
    : self_(std::move(self)), incarnation_(incarnation) {
  window_[0] = {};
}

void BudgetTracker::on_configuration(const protocol::Configuration& configuration) {
  if (configuration.revision <= applied_) {
    return;
  }
  owner_table_.update(configuration);
  take(configuration);
}

void BudgetTracker::on_change(const protocol::Configuration& configuration, const protocol::Change& change) {
  if (configuration.revision <= applied_) {
    return;
  }
  const bool follows = change.revision == applied_ + 1 && configuration.revision == change.revision;
  if (follows) {
    owner_table_.apply(change);
  } else {
    owner_table_.update(configuration);
  }
  take(configuration);
}

void BudgetTracker::take(const protocol::Configuration& configuration) {
  Budgets budgets;
  const auto self = configuration.daemons.find(self_);
  if (self != configuration.daemons.end() && self->second.incarnation == incarnation_) {
    budgets = owner_table_.budgets(self_);
  }
  const bool skipped = configuration.revision != applied_ + 1;
  if (skipped) {
    // What this daemon's shares were meanwhile is unknown; others may still use theirs of that time.
    window_[applied_ + 1] = {};
  }
  applied_ = configuration.revision;
  if (window_.rbegin()->second != budgets) {
    window_[applied_] = std::move(budgets);
  }
  forget_before_window();
  update_allowed();
}

void BudgetTracker::on_settled_everywhere(protocol::Revision revision) {
  if (revision <= settled_everywhere_) {
    return;
  }
  settled_everywhere_ = revision;
  forget_before_window();
  update_allowed();
}

void BudgetTracker::report_held(const core::DatabaseId& database, std::uint32_t connections) {
  if (connections == 0) {
    held_.erase(database);
    return;
  }
  held_[database] = connections;
}

Budget BudgetTracker::allowed(const core::DatabaseId& database) const {
  const auto found = allowed_.find(database);
  return found == allowed_.end() ? Budget{} : found->second;
}

protocol::Revision BudgetTracker::settled() const {
  for (const auto& [from, budgets] : window_) {
    const bool exceeded = std::any_of(held_.begin(), held_.end(), [&, &shares = budgets](const auto& entry) {
      const auto share = shares.find(entry.first);
      return share == shares.end() || entry.second > share->second.connections;
    });
    if (exceeded) {
      // What was settled stays so: connections are only opened within the smallest share of the window.
      const protocol::Revision before = from == 0 ? 0 : from - 1;
      if (from > settled_everywhere_) {
        settled_ = std::max(settled_, before);
      }
      return settled_;
    }
  }
  settled_ = std::max(settled_, applied_);
  return settled_;
}

void BudgetTracker::forget_before_window() {
  const protocol::Revision begin = std::min(settled_everywhere_, applied_);
  auto first = std::prev(window_.upper_bound(begin));
  window_.erase(window_.begin(), first);
}

void BudgetTracker::update_allowed() {
  allowed_ = window_.begin()->second;
  for (const auto& [from, budgets] : window_) {
    std::erase_if(allowed_,
                  [&, &shares = budgets](const auto& entry) { return !shares.contains(entry.first); });
    for (auto& [database, budget] : allowed_) {
      budget = smaller(budget, budgets.at(database));
    }
  }
}

}  // namespace pipitpond::ownership
