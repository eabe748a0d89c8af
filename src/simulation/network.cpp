#include "simulation/network.hpp"

#include <algorithm>

namespace pipitpond::simulation {

void Network::set_link(const Host& from, const Host& to, LinkQuality quality) {
  links_[key(from, to)] = quality;
}

void Network::cut(const Host& one, const Host& other) {
  cut_one_way(one, other);
  cut_one_way(other, one);
}

void Network::heal(const Host& one, const Host& other) {
  heal_one_way(one, other);
  heal_one_way(other, one);
}

const LinkQuality& Network::quality(const Link& link) const {
  const auto found = links_.find(link);
  return found == links_.end() ? default_ : found->second;
}

core::Instant Network::arrival(const Link& link, const LinkQuality& quality) {
  auto when = scheduler_.now() + random_.between(quality.delay_min, quality.delay_max);
  if (random_.chance(quality.late_per_mille)) when += random_.between({}, quality.late_by);
  if (quality.ordered) {
    auto& last = last_arrival_[link];
    when = std::max(when, last);
    last = when;
  }
  return when;
}

void Network::send(const Host& from, Host& to, Action arrive) {
  if (&from == &to) {
    scheduler_.after({}, [&to, arrive = std::move(arrive)] { to.deliver(arrive); });
    return;
  }
  const auto link = key(from, to);
  const auto& on_link = quality(link);
  // Every message draws the same numbers, so that a cut does not change the fate of all later messages.
  const bool lost = random_.chance(on_link.lost_per_mille);
  const bool doubled = random_.chance(on_link.doubled_per_mille);
  const auto first = arrival(link, on_link);
  const auto second = arrival(link, on_link);
  if (lost || cuts_.contains(link)) return;
  const auto deliver = [this, &to, link, arrive = std::move(arrive)] {
    if (!cuts_.contains(link)) to.deliver(arrive);
  };
  scheduler_.at(first, deliver);
  if (doubled) scheduler_.at(second, deliver);
}

}  // namespace pipitpond::simulation
