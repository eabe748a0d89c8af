// One semi-synchronous group in virtual time, under control's own state machine and coordinator. Its
// databases crash, start again under their ids with or without their logs, leave as planned, go deaf and are
// cut off, and heartbeats come late or from other writers; orders to promote may be late. Daemons pass on to
// callers what the primary that they know acknowledges; what is acknowledged during a change they pass on
// once it has ended, if it is kept. Judged is that each database that is promoted holds every write that was
// passed on, that the tokens of orders never go back, and that the group is served again once all faults have
// ended.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "configuration/state_machine.hpp"
#include "core/clock.hpp"
#include "database_lives/model_database.hpp"
#include "failover/coordinator.hpp"

namespace pipitpond::database_lives {

/// What a run plays.
struct ModelOptions {
  int databases = 3;
  bool leader_changes = false;  ///< Control's leader changes, also during a change of primary.
  /// Databases end also while they are held, which ends their hold, and start also while a promotion is under
  /// way, of which they then know nothing.
  bool unheld_starts = false;
  /// Orders to promote are on their way and at the platform for as long as they may be, also when their
  /// sender leads no more. They, or their answers, may be lost. A hold ends with a later promotion, as the
  /// platform's page says; without this option, entries of an earlier one end it too.
  bool late_orders = false;
  /// Daemons learn of a change up to as long after its begin as their leases last, and pass on until then
  /// what the old primary acknowledges.
  bool daemons_lag = false;
};

/// A write that a database acknowledged while daemons knew of no primary, or of another one.
struct UndecidedWrite {
  Write write = 0;
  core::LogPosition position;
};

/// An order to promote, from its sending to its effect.
struct LateOrder {
  failover::PromoteDatabase call;
  std::uint64_t token = 0;
  core::Instant sent;
  bool answer_is_lost = false;
};

/// A run, drawn by its seed. Never takes the last copy of an acknowledged write away: it can always be kept.
class Model {
 public:
  Model(std::uint64_t seed, ModelOptions options);

  /// Plays faults, ends them all, and waits until writes are acknowledged again.
  void run(core::Duration length);

  /// Broken promises: one line each.
  [[nodiscard]] const std::vector<std::string>& broken() const { return broken_; }
  /// What happened: one line each.
  [[nodiscard]] const std::vector<std::string>& story() const { return story_; }
  [[nodiscard]] std::size_t promotions() const { return promotions_; }
  [[nodiscard]] std::size_t logs_lost() const { return logs_lost_; }
  [[nodiscard]] std::size_t acknowledged() const { return acknowledged_total_; }

 private:
  using Action = std::function<void()>;

  // Time.
  void step();
  void at(core::Duration delay, Action action);
  core::Duration draw_between(int least_ms, int most_ms);
  bool one_in(std::uint64_t count) { return random_() % count == 0; }
  /// Draws for a call to a database: by the seed, the moment and the database alone, so that a play stays the
  /// same when control asks more or less.
  [[nodiscard]] std::mt19937_64 draws_for_call(const core::Endpoint& database) const;
  void tell(const std::string& what);
  [[nodiscard]] std::uint64_t now_ms() const;

  // Databases (model_databases.cpp).
  void write_and_replicate();
  void replicate_from(ModelDatabase& primary);
  [[nodiscard]] bool reaches_newer_primary(const ModelDatabase& replica, core::Term term) const;
  [[nodiscard]] bool ends_hold(const ModelDatabase& replica, const ModelDatabase& primary) const;
  void retire_replaced_primaries();

  // Daemons (model_daemons.cpp).
  void on_acknowledged(const ModelDatabase& primary, Write write);
  [[nodiscard]] bool daemons_take_for_primary(const ModelDatabase& database) const;
  void pass_on(const ModelDatabase& primary, Write write);
  void on_change_begun();
  void on_change_completed(const core::DatabaseId& primary);

  /// Of the life that was running when it was ordered.
  void promote(const failover::PromoteDatabase& call, std::uint64_t born);
  void lead_next_term(ModelDatabase& chosen);
  void judge_promoted(const ModelDatabase& database);
  [[nodiscard]] bool is_last_copy(const ModelDatabase& database) const;
  ModelDatabase& find(const core::DatabaseId& id);
  ModelDatabase& draw_database() { return databases_[random_() % databases_.size()]; }

  // Late orders (model_orders.cpp).
  void send_order(const failover::PromoteDatabase& call);
  /// At times the most, at times little.
  core::Duration draw_lateness(int least_ms, core::Duration most);
  void lose_order(const LateOrder& order);
  void arrive(const LateOrder& order);
  void take_effect(const LateOrder& order);
  void judge_token(std::uint64_t token);
  void send_order_of_another_group();
  [[nodiscard]] bool sender_leads(const LateOrder& order) const { return order.token == leadership_; }
  /// Its sender looks for the new primary, as platform/database_calls does after an answer and without one.
  void await_primary(const LateOrder& order, core::Instant give_up);
  void fail_order(const LateOrder& order);

  // Control.
  configuration::CommandResult apply(configuration::Operation operation);
  void take_notice(configuration::RegisterDatabase registration);
  configuration::EndpointAnswer identify(const configuration::RegisterDatabase& registration) const;
  void send_heartbeats();
  [[nodiscard]] configuration::RegisterDatabase heartbeat_of(const ModelDatabase& database) const;
  void report_suspicions();
  void carry_out(const failover::ProbeDatabase& probe);
  void carry_out(const failover::FenceDatabase& fence);
  [[nodiscard]] bool fence_is_lost(const failover::FenceDatabase& fence, const ModelDatabase& database);
  void carry_out(const failover::PromoteDatabase& promote);
  void carry_out(const failover::DemoteDatabase& call);
  void demote(const failover::DemoteDatabase& call);
  void carry_out(const failover::ProposeBeginPrimaryChange& begin);
  void carry_out(const failover::ProposeCompletePrimaryChange& complete);
  void carry_out(const failover::ProposeAdoptPrimary& adopt);
  void carry_out(const failover::ProposeRemoveDatabase& remove);
  void carry_out(const failover::ProposeProveDatabaseLog& proof);

  // Faults (model_faults.cpp).
  void begin_fault();
  void crash(ModelDatabase& database);
  void start_again(ModelDatabase& database);
  [[nodiscard]] bool may_end(const ModelDatabase& database) const;
  void leave_and_return(ModelDatabase& database);
  void end_as_planned(ModelDatabase& database);
  void hinder(ModelDatabase& database, bool ModelDatabase::*hindrance, const std::string& what);
  void send_foreign_heartbeat();
  void change_leader(core::Duration without_leader);
  void disturb_order(const core::DatabaseId& candidate);
  void end_faults();

  std::uint64_t seed_;
  std::mt19937_64 random_;
  ModelOptions options_;
  core::Instant now_ = core::Instant(std::chrono::hours(1));
  core::Instant next_fault_;
  std::multimap<core::Instant, Action> due_;
  std::vector<ModelDatabase> databases_;
  std::map<core::DatabaseId, bool> hit_;  ///< Databases with a fault under way.
  configuration::StateMachine machine_;
  std::uint64_t log_index_ = 0;
  core::Instant daemons_learn_at_{};  ///< Of the change that began last.
  failover::Coordinator coordinator_;
  std::vector<UndecidedWrite> undecided_;
  Write last_write_ = 0;
  std::vector<Write> acknowledged_;  ///< Passed on to callers, and lost by no promotion.
  std::size_t acknowledged_total_ = 0;
  core::Term newest_term_ = 0;  ///< Of all promotions: the platform counts on, whatever logs are lost.
  std::size_t promotions_ = 0;
  std::size_t promotions_under_way_ = 0;
  std::uint64_t leadership_ = 1;  ///< The token of its orders.
  bool leads_ = true;             ///< Some machine of control.
  core::Instant leads_since_ = now_;
  std::uint64_t highest_token_ = 0;  ///< That has reached the platform.
  std::map<core::DatabaseId, core::LogPosition> fenced_at_;
  /// Term and life in which control has had an answer to a fence.
  std::map<core::DatabaseId, std::pair<core::Term, std::uint64_t>> answered_fences_;
  bool faults_end_ = false;
  std::size_t logs_lost_ = 0;
  std::vector<std::string> broken_;
  std::vector<std::string> story_;
};

}  // namespace pipitpond::database_lives
