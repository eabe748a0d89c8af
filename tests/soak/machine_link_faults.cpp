// Cut links between control replicas, proxies and operators, of SoakFaults.
#include <array>

#include "soak/soak_faults.hpp"

namespace pipitpond::soak {

using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t kLeastMillisBetweenSplits = 2000;
constexpr std::uint64_t kMostMillisBetweenSplits = 7000;
const std::string kSplit = "split";

}  // namespace

LinkMode SoakFaults::draw_cut() {
  constexpr std::array<LinkMode, 4> kCuts = {LinkMode::kSilent, LinkMode::kRefused, LinkMode::kSilentToTarget,
                                             LinkMode::kSilentToClient};
  return kCuts.at(draw(kCuts.size()));
}

void SoakFaults::hit_machine_link(core::Instant now) {
  switch (draw(5)) {
    case 0:
      isolate_control(now);
      break;
    case 1:
      separate_two_controls(now);
      break;
    case 2:
    case 3:
      isolate_proxy(now);
      break;
    default:
      cut_operators(now);
      break;
  }
}

void SoakFaults::add_cut(core::Instant now, const Subject& subject, const std::string& what) {
  Active& cut = add(now, subject, what, [this, subject] { machine_links_.join(to_string(subject)); });
  cut.on_links = true;
}

/// A replica is cut off from all others, at times together with proxies, which then reach only this one.
void SoakFaults::isolate_control(core::Instant now) {
  const auto drawn = draw_control();
  if (!drawn) {
    return;
  }
  const Subject subject{Part::kControl, *drawn};
  const std::set<std::size_t> proxies = draw_proxies();
  std::set<MachineName> side = {control_machine(*drawn)};
  std::string what = "isolate";
  for (const std::size_t proxy : proxies) {
    side.insert(proxy_machine(proxy));
    what += " with proxy " + std::to_string(proxy);
  }
  const LinkMode mode = draw_cut();
  const bool operators_reach_both = draw(2) == 0;
  machine_links_.isolate(to_string(subject), side, mode, operators_reach_both);
  what += operators_reach_both ? ", but not from operators" : "";
  note_proxies_hit(proxies, FaultEdge::kBegin);
  Active& cut = add(now, subject, what + " (" + to_string(mode) + "):", [this, subject, proxies] {
    machine_links_.join(to_string(subject));
    note_proxies_hit(proxies, FaultEdge::kEnd);
  });
  cut.on_links = true;
}

std::set<std::size_t> SoakFaults::draw_proxies() {
  std::set<std::size_t> proxies;
  for (std::size_t proxy = 0; proxy < fleet_.proxies(); ++proxy) {
    if (draw(4) == 0 && !is_hit({Part::kProxy, proxy})) {
      proxies.insert(proxy);
    }
  }
  return proxies;
}

void SoakFaults::note_proxies_hit(const std::set<std::size_t>& proxies, FaultEdge edge) {
  for (const std::size_t proxy : proxies) {
    rule_.on_proxy_fault(proxy, core::BootClock::now(), edge);
  }
}

void SoakFaults::separate_two_controls(core::Instant now) {
  const auto drawn = draw_control();
  const std::size_t other = draw(fleet_.controls());
  if (!drawn || other == *drawn || is_gone(other)) {
    return;
  }
  const Subject subject{Part::kControl, *drawn};
  const LinkMode mode = draw_cut();
  machine_links_.separate(to_string(subject), control_machine(*drawn), control_machine(other), mode);
  add_cut(now, subject,
          std::string("separate (") + to_string(mode) + ") from control " + std::to_string(other) + ":");
}

void SoakFaults::isolate_proxy(core::Instant now) {
  const std::size_t proxy = draw(fleet_.proxies());
  const Subject subject{Part::kProxy, proxy};
  if (is_hit(subject)) {
    return;
  }
  const LinkMode mode = draw_cut();
  const std::size_t control = draw(fleet_.controls());
  if (draw(2) == 0) {
    machine_links_.isolate(to_string(subject), {proxy_machine(proxy)}, mode);
    add_cut(now, subject, std::string("isolate (") + to_string(mode) + ") from control");
  } else {
    machine_links_.separate(to_string(subject), proxy_machine(proxy), control_machine(control), mode);
    add_cut(now, subject,
            std::string("separate (") + to_string(mode) + ") from control " + std::to_string(control) + ":");
  }
}

void SoakFaults::step_splits(core::Instant now) {
  if (now < next_split_) {
    return;
  }
  next_split_ = now + milliseconds(kLeastMillisBetweenSplits +
                                   split_random_() % (kMostMillisBetweenSplits - kLeastMillisBetweenSplits));
  constexpr std::array<LinkMode, 5> kModes = {LinkMode::kSilent, LinkMode::kRefused,
                                              LinkMode::kSilentToTarget, LinkMode::kSilentToClient,
                                              LinkMode::kLossy};
  const LinkMode mode = kModes.at(split_random_() % kModes.size());
  const std::size_t first = split_random_() % fleet_.controls();
  // The sender of an order that is kept on its way is to be hit itself.
  if (!awaits_order_ && !orders_released_) {
    split_control(now, first, mode);
  }
}

void SoakFaults::split_control(core::Instant now, std::size_t first, LinkMode mode) {
  std::set<MachineName> side;
  for (std::size_t next = 0; next < fleet_.controls(); ++next) {
    const std::size_t number = (first + next) % fleet_.controls();
    if (may_hit_control(number)) {
      side.insert(control_machine(number));
      Active& cut = add(now, {Part::kControl, number}, std::string("split off (") + to_string(mode) + ")",
                        [this] { machine_links_.join(kSplit); });
      cut.on_links = true;
    }
  }
  machine_links_.split_control(kSplit, side, mode);
}

void SoakFaults::cut_operators(core::Instant now) {
  const std::size_t control = draw(fleet_.controls());
  const Subject subject{Part::kOperators, control};
  if (is_hit(subject)) {
    return;
  }
  const LinkMode mode = draw_cut();
  machine_links_.separate(to_string(subject), kOperatorsMachine, control_machine(control), mode);
  add_cut(now, subject, to_string(mode));
}

}  // namespace pipitpond::soak
