// A database of the model: its log, its role, and what it can reach.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"

namespace pipitpond::database_lives {

/// Number of a write; no two are alike.
using Write = std::uint64_t;

/// An entry of a log.
struct Entry {
  core::Term term = 0;
  Write write = 0;
};

/// One database, as the platform's protocol describes it. A hold ends with the life, with a promotion, and
/// with the first entry of a later term.
struct ModelDatabase {
  core::DatabaseId id;
  core::Endpoint endpoint;
  bool running = true;
  std::uint64_t born = 0;  ///< Start of its life, in milliseconds.
  std::vector<Entry> log;
  core::Term term = 1;
  core::Term held = 0;  ///< It receives nothing before this term has a primary; 0: it is not held.
  core::Instant held_since;
  bool primary = false;
  core::Instant leads_since;  ///< As a primary: its promotion.
  bool draining = false;
  bool deaf = false;                 ///< Receives nothing, and answers everybody.
  bool cut_off_control = false;      ///< Control can't reach it, nor it control.
  bool cut_off_databases = false;    ///< The other databases can't reach it.
  std::size_t orders_under_way = 0;  ///< Late orders to promote it that have not taken effect yet.
  bool ended_under_order = false;    ///< Its log is what it was ordered for: it starts again with it.
  std::set<Write> unacknowledged;    ///< As a primary: no replica has received them yet.
  core::Instant unacknowledged_since;
  core::Instant next_heartbeat;
  core::Instant reaches_newer_since;  ///< As a primary that has been replaced; zero: it reaches no newer one.

  [[nodiscard]] core::LogPosition end() const {
    return log.empty() ? core::LogPosition{} : core::LogPosition{log.back().term, log.size()};
  }
  /// Of an entry of its log.
  [[nodiscard]] core::LogPosition position_of(Write write) const;
  [[nodiscard]] bool linked() const { return running && !cut_off_databases; }
  [[nodiscard]] bool answers_control() const { return running && !cut_off_control; }
  [[nodiscard]] bool has(Write write) const;
  /// Fences are for terms later than its own, and not earlier than its hold's.
  [[nodiscard]] bool refuses_fence(core::Term of_fence) const { return term >= of_fence || held > of_fence; }

  /// Takes over its primary's log: what it lacks, and nothing else.
  void receive(const std::vector<Entry>& of_primary);
  void follow(core::Term newer);
  void lead(core::Term newer);
  /// It ends; the log stays.
  void stop();
  /// It starts under its id; `keeps_log` tells whether it knows anything of before.
  void start(std::uint64_t now_ms, bool keeps_log);
};

}  // namespace pipitpond::database_lives
