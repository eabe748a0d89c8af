// The simulated network: each message between two hosts gets its own fate from the seed.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>

#include "core/clock.hpp"
#include "simulation/host.hpp"
#include "simulation/random.hpp"
#include "simulation/scheduler.hpp"

namespace pipitpond::simulation {

/// What happens to messages on one link in one direction.
struct LinkQuality {
  core::Duration delay_min = std::chrono::microseconds(200);
  core::Duration delay_max = std::chrono::milliseconds(2);
  std::uint32_t lost_per_mille = 0;
  std::uint32_t doubled_per_mille = 0;
  /// So many messages in a thousand arrive up to `late_by` later than the others.
  std::uint32_t late_per_mille = 0;
  core::Duration late_by = std::chrono::seconds(2);
  /// True: messages arrive in the order of sending, as over one connection. False: as the delays have it.
  bool ordered = false;
};

class Network {
 public:
  Network(Scheduler& scheduler, std::uint64_t seed) : scheduler_(scheduler), random_(seed) {}

  /// Quality of all links that have none of their own.
  void set_default(LinkQuality quality) { default_ = quality; }
  /// Quality of the link from one host to another; the way back has its own.
  void set_link(const Host& from, const Host& to, LinkQuality quality);
  void reset_links() { links_.clear(); }

  /// Drops what is sent, or would arrive, from one host to another, in silence.
  void cut_one_way(const Host& from, const Host& to) { cuts_.insert(key(from, to)); }
  void cut(const Host& one, const Host& other);
  void heal_one_way(const Host& from, const Host& to) { cuts_.erase(key(from, to)); }
  void heal(const Host& one, const Host& other);
  void heal_all() { cuts_.clear(); }
  [[nodiscard]] bool is_cut(const Host& from, const Host& to) const { return cuts_.contains(key(from, to)); }

  /// Sends a message: `arrive` runs in the receiving host's process never, once or more often. It must be
  /// safe to run twice. Hosts must outlive the network. A host's messages to itself always arrive, at once.
  void send(const Host& from, Host& to, Action arrive);

 private:
  using Link = std::pair<std::string, std::string>;  ///< Sender, receiver.

  static Link key(const Host& from, const Host& to) { return {from.name(), to.name()}; }
  [[nodiscard]] const LinkQuality& quality(const Link& link) const;
  core::Instant arrival(const Link& link, const LinkQuality& quality);

  Scheduler& scheduler_;
  Random random_;
  LinkQuality default_;
  std::map<Link, LinkQuality> links_;
  std::set<Link> cuts_;
  std::map<Link, core::Instant> last_arrival_;  ///< Of ordered links.
};

}  // namespace pipitpond::simulation
