#include "soak/configuration_rule.hpp"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace pipitpond::soak {
namespace {

/// Lines of one kind of broken promise; a fault that lasts would fill the log.
constexpr std::size_t kMostOfAKind = 4;

std::string number(Version version) {
  return std::to_string(version);
}

}  // namespace

void ConfigurationRule::on_acknowledged(core::Instant at, Version version) {
  acknowledged_.emplace(version, at);
}

void ConfigurationRule::on_refused(Version version, unsigned status, const std::string& reason) {
  blame("refused",
        "version " + number(version) + " is valid and was refused: " + std::to_string(status) + " " + reason);
}

void ConfigurationRule::on_invalid_answered(const std::string& shape, unsigned status) {
  if (status == 200) {
    blame("invalid", "an invalid change was acknowledged: " + shape);
  }
}

void ConfigurationRule::on_read(std::size_t replica, core::Instant sent, const std::string& body) {
  ++reads_;
  const auto who = "control " + std::to_string(replica) + " answered a read with ";
  const auto read = nlohmann::json::parse(body, nullptr, false);
  if (!read.is_object() || !read.contains("Version")) {
    blame("unreadable", who + "what can't be read");
    return;
  }
  const auto version = read.at("Version").get<Version>();
  const auto sent_as = bodies_.find(version);
  if (sent_as == bodies_.end()) {
    blame("never sent", who + "version " + number(version) + ", which nobody sent in valid form");
  } else if (sent_as->second != body) {
    blame("content", who + "other content than was sent as version " + number(version));
  }
  const Version owed = newest_acknowledged(sent);
  if (version < owed) {
    blame("old read", who + "version " + number(version) + " after " + number(owed) + " was acknowledged");
  }
}

void ConfigurationRule::on_sent(Version version, std::string body) {
  places_.emplace(version, place_of_moving_route(body));
  bodies_.emplace(version, std::move(body));
}

void ConfigurationRule::on_obeyed(const ObeyedVersion& seen) {
  ++observations_;
  judge_look(seen, "obeys version " + number(seen.version),
             [&seen](Version version) { return version == seen.version; });
}

void ConfigurationRule::on_route_used(const RouteUse& use) {
  ++route_uses_;
  std::string what = "leads the moving route to";
  for (const RoutePlace place : use.places) {
    what += std::string(" ") + to_string(place);
  }
  judge_look(use, what, [this, &use](Version version) {
    return std::count(use.places.begin(), use.places.end(), places_.at(version)) > 0;
  });
}

void ConfigurationRule::judge_look(const ProxyLook& look, const std::string& what, const Explains& explains) {
  Version greatest_floor = 0;
  for (const Floor& floor : floors_of(look)) {
    greatest_floor = std::max(greatest_floor, floor.version);
    if (!least_version(floor.version, explains)) {
      blame(floor.kind, "proxy " + std::to_string(look.proxy) + " " + what + floor.reason);
    }
  }
  if (const auto least = least_version(greatest_floor, explains)) {
    shown_[look.proxy].note(look.answered, *least);
  }
}

std::vector<ConfigurationRule::Floor> ConfigurationRule::floors_of(const ProxyLook& look) {
  ShownVersions& shown = shown_[look.proxy];
  if (shown.started != look.started) {
    shown = ShownVersions{look.started, {}};
  }
  std::vector<Floor> floors;
  const Version before = shown.before(look.asked);
  floors.push_back({before, "went back", " after " + number(before) + " in the same life"});
  const Version at_start = newest_acknowledged(look.started);
  floors.push_back(
      {at_start, "started behind", ", " + number(at_start) + " was acknowledged before it started"});
  if (const auto limit = in_force_limit(look.proxy, look.asked)) {
    const Version owed = newest_acknowledged(look.asked - *limit);
    floors.push_back({owed, "late",
                      " in touch, " + number(owed) + " was acknowledged more than " +
                          std::to_string(core::to_millis(*limit)) + " ms before"});
  }
  return floors;
}

std::optional<Version> ConfigurationRule::least_version(Version floor, const Explains& explains) const {
  const auto found = std::find_if(bodies_.lower_bound(floor), bodies_.end(),
                                  [&](const auto& sent) { return explains(sent.first); });
  return found == bodies_.end() ? std::nullopt : std::optional(found->first);
}

Version ConfigurationRule::ShownVersions::before(core::Instant moment) const {
  const auto later =
      std::find_if(from.begin(), from.end(), [moment](const auto& one) { return one.first > moment; });
  return later == from.begin() ? 0 : std::prev(later)->second;
}

void ConfigurationRule::ShownVersions::note(core::Instant moment, Version version) {
  if (from.empty() || version > from.back().second) {
    from.emplace_back(moment, version);
  }
}

void ConfigurationRule::Faults::note(core::Instant at, FaultEdge edge) {
  last = std::max(last, at);
  under_way += edge == FaultEdge::kBegin ? 1 : 0;
  under_way -= edge == FaultEdge::kEnd ? 1 : 0;
}

void ConfigurationRule::on_proxy_fault(std::size_t proxy, core::Instant at, FaultEdge edge) {
  proxy_faults_[proxy].note(at, edge);
}

void ConfigurationRule::on_control_fault(std::size_t replica, core::Instant at, FaultEdge edge) {
  control_faults_[replica].note(at, edge);
}

void ConfigurationRule::on_fault_of_all_control(core::Instant at, FaultEdge edge) {
  for (std::size_t replica = 0; replica < controls_; ++replica) {
    on_control_fault(replica, at, edge);
  }
}

bool ConfigurationRule::is_calm(std::size_t proxy, core::Instant at) const {
  const auto own = proxy_faults_.find(proxy);
  return own == proxy_faults_.end() || (own->second.under_way == 0 && at >= own->second.last + kContactTime);
}

std::size_t ConfigurationRule::controls_hit_after(core::Instant moment) const {
  return static_cast<std::size_t>(std::count_if(
      control_faults_.begin(), control_faults_.end(),
      [moment](const auto& faults) { return faults.second.under_way > 0 || faults.second.last > moment; }));
}

std::optional<core::Duration> ConfigurationRule::in_force_limit(std::size_t proxy, core::Instant at) const {
  constexpr core::Duration kDisturbedLimit = kInForceLimit + kDisturbedControlLimit;
  if (!is_calm(proxy, at)) {
    return std::nullopt;
  }
  if (controls_hit_after(at - kContactTime) == 0) {
    return kInForceLimit;
  }
  const bool majority_ran_throughout = 2 * controls_hit_after(at - kDisturbedLimit) < controls_;
  return majority_ran_throughout ? std::optional(kDisturbedLimit) : std::nullopt;
}

Version ConfigurationRule::newest_acknowledged(core::Instant before) const {
  Version newest = 0;
  for (const auto& [version, at] : acknowledged_) {
    newest = at < before ? std::max(newest, version) : newest;
  }
  return newest;
}

const std::string* ConfigurationRule::body(Version version) const {
  const auto found = bodies_.find(version);
  return found == bodies_.end() ? nullptr : &found->second;
}

void ConfigurationRule::blame(const std::string& kind, const std::string& text) {
  if (++broken_of_kind_[kind] <= kMostOfAKind) {
    broken_.push_back("CONFIG, " + kind + ": " + text);
  }
}

}  // namespace pipitpond::soak
