// Faults of a soak run, drawn by its seed: signals, lost and full disks, clocks, databases, and the links to
// them behind the fault proxy. Each ends by itself after a while.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "platform_support/platform_fleet.hpp"
#include "process/child.hpp"

namespace pipitpond::soak {

/// Databases behind a real fault proxy.
class DatabaseLinks {
 public:
  /// Takes ports and starts the fault proxy.
  DatabaseLinks(const std::filesystem::path& folder, int databases, std::uint64_t seed);

  /// The service whose databases are behind the links.
  [[nodiscard]] platform_stage::ServiceOptions service() const;
  [[nodiscard]] const core::Endpoint& admin() const { return admin_; }

 private:
  std::vector<std::uint16_t> ports_;
  std::vector<core::Endpoint> links_;
  core::Endpoint admin_;
  std::unique_ptr<process::Child> child_;
};

/// Brings faults about.
class SoakFaults {
 public:
  SoakFaults(platform::PlatformFleet& fleet, const DatabaseLinks& links, std::uint64_t seed);

  /// Ends what is due and, unless enough is going on, begins something. Call often.
  void step(core::Instant now);
  /// Ends everything.
  void heal();
  /// Until a replica that lost its disk no longer counts as lost.
  void wait_until_disks_caught_up();
  /// The worst that must be borne: right after an acknowledged change one replica of control loses its disk,
  /// and all other processes lose power at the same moment, the proxies too. Restarts everything after a
  /// while.
  void lose_a_disk_and_all_power();

  /// What was done, for a failed run: one line each.
  [[nodiscard]] const std::vector<std::string>& told() const { return told_; }
  /// The newest version that control has acknowledged.
  [[nodiscard]] std::uint64_t acknowledged_version() const { return acknowledged_version_; }

 private:
  /// One fault under way.
  struct Active {
    std::string subject;  ///< Has one fault at a time.
    core::Instant ends;
    std::function<void()> end;
  };

  void restart_ended(core::Instant now);
  void begin(core::Instant now);
  void add(core::Instant now, const std::string& subject, const std::string& what, std::function<void()> end);
  [[nodiscard]] bool is_hit(const std::string& subject) const;
  [[nodiscard]] bool any_control_hit() const;

  void hit_proxy(core::Instant now);
  void hit_control(core::Instant now);
  void kill_all_control(core::Instant now);
  void hit_database(core::Instant now);
  void hit_link(core::Instant now);
  void change_configuration();
  /// Changes in quick succession, beside whatever else goes on.
  void begin_storm(core::Instant now);
  void step_storm(core::Instant now);
  /// Hits proxies one after the other, each before the last one has returned.
  void begin_series(core::Instant now);
  void step_series(core::Instant now);
  void restart_control(std::size_t number);
  void restart_proxy(std::size_t number);
  void shift_clock();
  void set_link(std::size_t number, const char* mode);
  std::uint64_t draw(std::uint64_t below) { return random_() % below; }

  platform::PlatformFleet& fleet_;
  const DatabaseLinks& links_;
  std::mt19937_64 random_;
  core::Instant begun_;
  core::Instant next_{};
  core::Instant next_lost_disk_{};
  core::Instant next_look_{};
  core::Instant next_storm_change_{};
  core::Instant storm_ends_{};
  core::Instant next_of_series_{};
  std::size_t left_in_series_ = 0;
  std::vector<Active> active_;
  std::vector<std::string> told_;
  std::uint64_t version_ = 1;
  std::uint64_t acknowledged_version_ = 1;
};

}  // namespace pipitpond::soak
