#include "faults.hpp"

#include <algorithm>
#include <utility>

namespace pipitpond::faultproxy {

std::optional<FaultKind> fault_kind_from(std::string_view text) {
  constexpr std::array<std::pair<std::string_view, FaultKind>, 9> kKinds = {{
      {"none", FaultKind::kNone},
      {"delay", FaultKind::kDelay},
      {"drop", FaultKind::kDrop},
      {"cut_to_target", FaultKind::kCutToTarget},
      {"cut_from_target", FaultKind::kCutFromTarget},
      {"freeze", FaultKind::kFreeze},
      {"reset", FaultKind::kReset},
      {"refuse", FaultKind::kRefuse},
      {"power_loss", FaultKind::kPowerLoss},
  }};
  const auto* const found =
      std::find_if(kKinds.begin(), kKinds.end(), [text](const auto& kind) { return kind.first == text; });
  return found == kKinds.end() ? std::nullopt : std::optional(found->second);
}

core::Duration LinkState::draw_delay(Direction direction) {
  const auto& wanted = way(direction);
  auto delay = wanted.base_delay + wanted.delay;
  if (wanted.jitter > core::Duration::zero()) {
    std::uniform_int_distribution<std::int64_t> jitter(0, wanted.jitter.count());
    delay += core::Duration(jitter(random));
  }
  return delay;
}

bool LinkState::draw_drop(Direction direction) {
  const auto probability = way(direction).drop_probability;
  return probability > 0 && std::bernoulli_distribution(probability)(random);
}

}  // namespace pipitpond::faultproxy
