// Faults of a soak run, drawn by its seed: signals, lost, slow and full disks, clocks, databases, also such
// as start again without their logs, heartbeats of other writers, cut links, and orders to promote that are
// under way for seconds. Each ends by itself after a while.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "platform_support/platform_fleet.hpp"
#include "process/child.hpp"
#include "soak/configuration_rule.hpp"
#include "soak/configuration_traffic.hpp"
#include "soak/fault_links.hpp"
#include "soak/platform_links.hpp"

namespace pipitpond::soak {

/// What a fault hits.
enum class Part : std::uint8_t { kControl, kAllControl, kOperators, kProxy, kDatabase, kDatabaseLink };

/// One machine or link. Of `kAllControl` the number has no meaning.
struct Subject {
  Part part = Part::kControl;
  std::size_t number = 0;

  bool operator==(const Subject&) const = default;
};

std::string to_string(const Subject& subject);

/// Control machines that a run may replace: each leaves its settings and an address behind.
inline constexpr std::size_t kMostReplacedControls = 3;

/// Brings faults about.
class SoakFaults {
 public:
  /// Tells the rule of each fault of control and of proxies. Changes go through the traffic.
  SoakFaults(platform::PlatformFleet& fleet, const DatabaseLinks& database_links, MachineLinks& machine_links,
             PlatformLinks& platform_links, ConfigurationRule& rule, ConfigurationTraffic& traffic,
             std::uint64_t seed);

  /// Ends what is due and, unless enough is going on, begins something. Call often.
  void step(core::Instant now);
  /// Ends everything.
  void heal();
  /// Until a replica that lost its disk no longer counts as lost.
  void wait_until_disks_caught_up();
  /// The worst that must be borne: right after an acknowledged change one replica of control loses its disk,
  /// and all other processes lose power at the same moment, the proxies too. Restarts everything after a
  /// while; in half of the runs first only that one and replicas that lag, and the proxies.
  void lose_a_disk_and_all_power();
  /// Called right before the first process starts again after that.
  void on_dark(std::function<void()> callback) { on_dark_ = std::move(callback); }

  /// What was done, for a failed run: one line each.
  [[nodiscard]] const std::vector<std::string>& told() const { return told_; }
  /// Processes that crashed by themselves: one line each.
  [[nodiscard]] const std::vector<std::string>& crashes() const { return crashes_; }
  /// Whether a control machine was replaced by another one, and stays away.
  [[nodiscard]] bool is_gone(std::size_t control) const { return gone_.contains(control); }

 private:
  /// One fault under way.
  struct Active {
    Subject subject;  ///< Has one fault at a time.
    core::Instant ends;
    std::function<void()> end;
    bool on_links = false;  ///< Not on a machine, so that it outlasts a loss of power.
  };

  /// Ends a process at once, and waits for its end.
  static void kill(process::Child& child);
  void restart_ended(core::Instant now);
  void note_end(const Subject& subject, process::Child& child);
  void begin(core::Instant now);
  void hit_link_or_disk(core::Instant now);
  Active& add(core::Instant now, const Subject& subject, const std::string& what, std::function<void()> end);
  [[nodiscard]] bool is_hit(const Subject& subject) const;
  [[nodiscard]] bool any_control_hit() const;
  /// Whom the fault concerns is not in touch while it lasts, and for a while after it.
  void tell_rule(const Subject& subject, FaultEdge edge);

  void hit_proxy(core::Instant now);
  void hit_database(core::Instant now);
  void hit_database_link(core::Instant now);

  // Databases that start again, and other writers (database_life_faults.cpp).
  void step_lives(core::Instant now);
  /// A replica crashes, and starts again under its id without its log.
  void lose_log(core::Instant now, std::size_t number);
  /// A replica drains, leaves, ends, and starts again under its id without its log.
  void restart_as_planned(core::Instant now, std::size_t number);
  boost::asio::awaitable<void> leave_as_planned(std::size_t number);
  /// Starts a database that has ended: without its log, unless that may hold the last copy of a write.
  void start_again(std::size_t number);
  /// Whether no acknowledged write can be in this database's log alone.
  [[nodiscard]] bool may_lose_log(std::size_t number);
  void send_foreign_heartbeat(core::Instant now);
  /// Changes in quick succession, beside whatever else goes on.
  void begin_storm(core::Instant now);
  void step_storm(core::Instant now);
  /// Hits proxies one after the other, each before the last one has returned.
  void begin_series(core::Instant now);
  void step_series(core::Instant now);
  void restart_proxy(std::size_t number);
  void restart_all_proxies();
  /// Of all processes at one moment: what was not synced is gone, and databases hear no end of connections.
  /// `keeps_remains`: a drawn part of what was not synced stays.
  void take_all_power(bool keeps_remains);

  // Control (control_faults.cpp).
  /// How many replicas may be away at once, for control to go on.
  [[nodiscard]] std::size_t spare_controls() const { return (fleet_.controls() - gone_.size() - 1) / 2; }
  /// Only a minority of control, the same one all the time, is hit in this run: changes must go through.
  void protect_majority();
  [[nodiscard]] bool may_hit_control(std::size_t number) const;
  /// Empty when no replica may be hit now.
  std::optional<std::size_t> draw_control();
  void hit_control(core::Instant now);
  void kill_all_control(core::Instant now);
  void restart_control(std::size_t number);
  void restart_all_control();
  /// As many replicas as control can spare miss what follows, until they are killed.
  std::set<std::size_t> freeze_spare_controls();
  void stop_control(core::Instant now, std::size_t number, const Subject& subject);
  void lose_control_disk(core::Instant now, std::size_t number, const Subject& subject);
  /// Kills a machine for good; an empty one at another address takes its place.
  void replace_control(core::Instant now, std::size_t number, const Subject& subject);
  /// Lets a replica run only part of the time, in slices, as under a small share of a processor.
  void squeeze_control(core::Instant now, std::size_t number, const Subject& subject);
  void step_squeezed(core::Instant now);
  void exchange_seeds();
  [[nodiscard]] std::vector<std::size_t> draw_seeds();
  void disk_is_lost_until_caught_up();
  void shift_clock();
  void hit_disk(core::Instant now);
  /// Of all control replicas; zero: none.
  void set_sync_delays(std::chrono::milliseconds delay);

  // Losses of power (power_faults.cpp).
  /// From time to time all processes lose power right after an acknowledged change, whatever other faults are
  /// under way, and a replica of control its disk.
  void step_loss_of_all_power(core::Instant now);
  void schedule_loss_of_all_power(core::Instant after);
  /// From now on the next acknowledgement is the last thing that happens. Disks may be slow until then, so
  /// that what was acknowledged before it was synced is lost.
  void await_acknowledgement();
  /// At the first acknowledgement of a change, nothing runs on.
  void strike_at_acknowledgement(std::size_t replica);
  void lose_all_power_amid_faults(core::Instant now, std::size_t acknowledged_by);
  /// The machine whose disk is lost with all power; empty while another one counts as lost.
  std::optional<std::size_t> draw_lost_disk(core::Instant now, std::size_t acknowledged_by);
  void end_faults_of_machines();
  /// A replica that has ended has also lost power: of what it had not synced, a drawn part is gone.
  void lose_unsynced(std::size_t number);
  void lose_unsynced(std::size_t number, const platform::UnsyncedFate& fate);
  /// Kills a replica whose disk is slow, starts it again, and takes its power a moment later.
  void kill_in_a_sync_then_lose_power(std::size_t number);
  /// Ends every process of control and every proxy at one moment.
  void kill_everything();
  /// Sends a change that needs a replica which is killed while it syncs it, and started again at once.
  /// `lagging`: replicas that are frozen.
  void change_across_a_kill_in_a_sync(const std::set<std::size_t>& lagging);

  // Links between machines (machine_link_faults.cpp).
  void hit_machine_link(core::Instant now);
  void isolate_control(core::Instant now);
  /// Some of the proxies that have no fault now.
  std::set<std::size_t> draw_proxies();
  void note_proxies_hit(const std::set<std::size_t>& proxies, FaultEdge edge);
  void separate_two_controls(core::Instant now);
  void isolate_proxy(core::Instant now);
  void cut_operators(core::Instant now);
  /// Cuts as many replicas as control can spare off from the others; databases, callers, operators and the
  /// platform reach both sides.
  void step_splits(core::Instant now);
  void split_control(core::Instant now, std::size_t first, LinkMode mode);
  LinkMode draw_cut();
  void add_cut(core::Instant now, const Subject& subject, const std::string& what);

  // Ways to the platform (platform_way_faults.cpp).
  void step_platform_ways(core::Instant now);
  void heal_platform_ways();
  void hit_platform_way(core::Instant now);
  /// Keeps the next order to promote on its way. Crashes the primary, so that there is one.
  void wait_for_an_order(core::Instant now);
  /// What its sender and the ordered database suffer meanwhile is drawn.
  void keep_order(const CaughtOrder& order);
  void stop_sender(core::Instant now, std::size_t control);
  void crash_then_deafen(core::Instant now, std::size_t database);
  void release_orders();
  void tell(core::Instant now, const std::string& what);

  std::uint64_t draw(std::uint64_t below) { return random_() % below; }

  platform::PlatformFleet& fleet_;
  const DatabaseLinks& database_links_;
  MachineLinks& machine_links_;
  PlatformLinks& platform_links_;
  ConfigurationRule& rule_;
  ConfigurationTraffic& traffic_;
  std::mt19937_64 random_;
  std::mt19937_64 life_random_;  ///< Of its own, so that the other faults of a seed stay what they were.
  std::mt19937_64 power_random_;
  std::mt19937_64 platform_random_;
  std::mt19937_64 split_random_;
  std::mt19937_64 all_power_random_;
  core::Instant begun_;
  core::Instant next_of_lives_{};
  core::Instant next_{};
  core::Instant next_of_links_and_disks_{};
  core::Instant next_lost_disk_{};
  core::Instant next_look_{};
  core::Instant next_storm_change_{};
  core::Instant storm_ends_{};
  core::Instant next_of_series_{};
  std::size_t left_in_series_ = 0;
  std::vector<Active> active_;
  std::set<std::size_t> protected_controls_;  ///< Never hit before the loss of all power.
  std::set<std::size_t> gone_;                ///< Control machines that were replaced.
  std::map<std::size_t, bool> squeezed_;      ///< Control replicas, and whether each runs at the moment.
  core::Instant next_slice_{};
  std::optional<std::size_t> log_lost_by_;  ///< Until that database has received its primary's log again.
  std::set<std::size_t> leaving_;           ///< Databases that end as planned.
  core::Instant next_split_{};
  core::Instant next_loss_of_all_power_;
  bool awaits_acknowledgement_ = false;
  std::optional<std::size_t> struck_at_;  ///< The replica that acknowledged when all power was lost.
  core::Instant next_of_platform_ways_{};
  std::map<std::size_t, core::Instant> platform_ways_;  ///< When the fault of a machine's way ends.
  bool awaits_order_ = false;
  std::optional<CaughtOrder> caught_order_;       ///< Until the next step.
  std::optional<core::Instant> orders_released_;  ///< While an order is kept on its way.
  std::set<std::size_t> deaf_;                    ///< Databases that receive nothing meanwhile.
  std::function<void()> on_dark_ = [] {};
  std::vector<std::string> told_;
  std::vector<std::string> crashes_;
};

}  // namespace pipitpond::soak
