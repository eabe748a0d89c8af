// Applies the faults of a sequence to a fleet, each for its time, several at once if they hit different
// processes.
#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "fleet/fleet.hpp"
#include "fuzz/command.hpp"
#include "oracle/observations.hpp"

namespace pipitpond::fuzz {

/// The faults of one run. Used by the thread that started the fleet.
class Faults {
 public:
  Faults(fleet::Fleet& fleet, core::GroupName group);

  /// Begins a fault, unless its target is under another one already.
  void begin(const Command& command);
  /// Ends the faults whose time is over.
  void end_due();
  /// Ends all faults and waits until every process is ready and the group has a primary.
  void end_all();

  /// Number of faults that were begun.
  [[nodiscard]] std::uint64_t begun() const { return begun_; }
  /// Times during which proxies were killed, frozen or being stopped.
  [[nodiscard]] const std::vector<oracle::Absence>& absences() const { return absences_; }
  /// Those of them that began with a planned stop.
  [[nodiscard]] const std::vector<oracle::Absence>& planned_stops() const { return planned_stops_; }
  /// What could not be done, and planned stops that did not end. Empty in a sound run.
  [[nodiscard]] const std::vector<std::string>& failures() const { return failures_; }
  /// What was done, a line each, with times.
  [[nodiscard]] const std::vector<std::string>& journal() const { return journal_; }

 private:
  struct Open {
    core::Instant due;
    std::string target;
    std::function<void()> end;
  };

  void hit_proxy(const Command& command);
  void hit_database(const Command& command);
  void hit_links(const Command& command, const std::string& database);
  void raise_lag(const Command& command);
  /// One replica at a time, or all of them.
  void hit_control(const Command& command);
  void drain_database(const std::string& database, bool leaving);
  void start_and_wait_gone(const std::string& process);
  [[nodiscard]] bool control_is_hit() const;
  void set_control_links(fleet::LinkMode mode);
  void send_fault(const std::string& link, const nlohmann::json& fault);
  void set_lag(double milliseconds);
  void open(const Command& command, const std::string& target, std::function<void()> end);
  void check(const core::Result<void>& result);
  void note(const std::string& line);
  [[nodiscard]] std::string database_of(const Command& command);
  [[nodiscard]] std::vector<std::string> names_of(const std::string& kind);

  fleet::Fleet& fleet_;
  core::GroupName group_;
  std::vector<std::string> proxies_;
  std::vector<std::string> databases_;
  std::vector<std::string> control_;
  std::vector<Open> open_;
  std::set<std::string> hit_;
  std::vector<oracle::Absence> absences_;
  std::vector<oracle::Absence> planned_stops_;
  std::vector<std::string> failures_;
  std::vector<std::string> journal_;
  std::uint64_t begun_ = 0;
  std::size_t draining_ = 0;  ///< Databases.
  std::uint64_t next_key_ = 0;
};

}  // namespace pipitpond::fuzz
