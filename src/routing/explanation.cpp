#include "routing/explanation.hpp"

#include <utility>

namespace pipitpond::routing {

void ExplanationLog::start(const core::RequestId& request, core::Instant now) {
  if (capacity_ == 0) {
    return;
  }
  const auto [entry, is_new] = explanations_.insert_or_assign(request, Explanation{request, now, {}});
  if (!is_new) {
    return;
  }
  order_.push_back(request);
  if (order_.size() > capacity_) {
    explanations_.erase(order_.front());
    order_.pop_front();
  }
}

void ExplanationLog::add(const core::RequestId& request, core::Instant now, core::DatabaseId database,
                         std::string decision, std::string detail) {
  const auto found = explanations_.find(request);
  if (found == explanations_.end() || found->second.steps.size() >= kMaxExplanationSteps) {
    return;
  }
  Explanation& explanation = found->second;
  explanation.steps.push_back(ExplanationStep{now - explanation.started, std::move(database),
                                              std::move(decision), std::move(detail)});
}

const Explanation* ExplanationLog::find(const core::RequestId& request) const {
  const auto found = explanations_.find(request);
  return found == explanations_.end() ? nullptr : &found->second;
}

}  // namespace pipitpond::routing
