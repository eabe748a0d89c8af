// The judge of the control world. It sees only what machines, daemons and operators do and say, and compares
// that with a plain model of its own: a list of committed entries and a map of zones.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "configuration/command.hpp"
#include "control_world/messages.hpp"
#include "core/ids.hpp"
#include "raft/message.hpp"
#include "raft/types.hpp"
#include "simulation/trace.hpp"

namespace pipitpond::control_world {

/// Recognises a change by its content, so also where its request key was taken away.
using ChangeTag = std::string;

/// Who answered a change, and when.
struct Answerer {
  std::string machine;
  std::uint64_t life = 0;     ///< Counts the machine's starts.
  std::size_t elections = 0;  ///< Terms that had a leader by then.
};

/// Changes that were answered again, by what had happened since the first answer.
struct Resends {
  std::uint64_t to_another_machine = 0;
  std::uint64_t after_leader_change = 0;
  std::uint64_t after_restart = 0;  ///< Of the machine that answered first, which answered again.
};

class Oracle {
 public:
  explicit Oracle(simulation::Trace& trace) : trace_(trace) {}

  /// A replica leads a term; `others` still hold that they do and that nobody else can.
  void on_leader(const core::ControlId& replica, raft::Term term, const std::vector<core::ControlId>& others);
  /// A replica sent a message.
  void on_message(const raft::Message& message);
  /// A replica applied an entry and has this configuration now.
  void on_applied(const core::ControlId& replica, const raft::Entry& entry,
                  const protocol::Configuration& configuration);
  /// A replica took over a snapshot of this configuration.
  void on_restored(const core::ControlId& replica, raft::Index index,
                   const protocol::Configuration& configuration);
  /// A replica granted a daemon a lease as leader of a term.
  void on_lease_granted(const core::ControlId& replica, raft::Term term, const core::DaemonId& daemon);
  /// A daemon applied a configuration.
  void on_daemon_applied(const core::DaemonId& daemon, const protocol::Configuration& configuration);

  /// An operator sends a change for the first time.
  void on_change_sent(const configuration::Command& command);
  /// An operator got the state machine's answer to a change, the first time or again.
  void on_change_answered(const configuration::Command& command, const configuration::CommandResult& result,
                          const Answerer& answerer);
  /// Least revision that a read which is sent now must show.
  [[nodiscard]] protocol::Revision least_current() const { return answered_revision_; }
  /// An operator got an answer to a read that was sent when `least` was least_current().
  void on_read_answered(const ReadAnswer& answer, protocol::Revision least);

  /// Says that something must hold.
  void require(bool holds, const std::string& otherwise);

  [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
  [[nodiscard]] raft::Term newest_leader_term() const { return newest_leader_term_; }
  /// Terms that had a leader.
  [[nodiscard]] std::size_t elections() const { return leaders_.size(); }
  [[nodiscard]] std::size_t changes_answered() const { return answers_.size(); }
  [[nodiscard]] std::size_t conflicts_answered() const { return conflicts_; }
  [[nodiscard]] const Resends& resends() const { return resends_; }
  [[nodiscard]] raft::Index last_index() const { return last_index_; }
  /// Compares a replica's zones with those of the model.
  void check_final(const core::ControlId& replica, const protocol::Configuration& configuration);

 private:
  struct Outcome {
    raft::Index index = 0;
    bool accepted = false;
    protocol::Revision revision = 0;  ///< Accepted: the new one. Refused: the current one.
  };
  struct ZoneModel {
    std::string region;
    protocol::Revision revision = 0;
  };
  struct Answer {
    bool accepted = false;
    protocol::Revision revision = 0;

    auto operator<=>(const Answer&) const = default;
  };

  struct FirstAnswer {
    Answer answer;
    Answerer answerer;
  };

  /// A replica votes for itself or for another.
  void note_vote(const core::ControlId& voter, raft::Term term, const core::ControlId& candidate);
  /// What a replica acknowledged and was committed must be in the log of whom it votes for.
  void check_vote(const core::ControlId& voter, raft::Term term, const core::ControlId& candidate);
  void note_resend(const Answerer& first, const Answerer& again);
  void model_entry(const raft::Entry& entry, protocol::Revision revision_after);
  void model_zone(raft::Index index, const configuration::Command& command, const configuration::PutZone& put,
                  protocol::Revision revision_after);
  void note_configuration(const std::string& who, const protocol::Configuration& configuration);

  simulation::Trace& trace_;
  std::vector<std::string> violations_;
  std::map<raft::Term, core::ControlId> leaders_;
  raft::Term newest_leader_term_ = 0;
  std::map<std::pair<core::ControlId, raft::Term>, core::ControlId> votes_;
  std::map<raft::Index, std::uint64_t> entries_;  ///< Hash of the committed entry.
  raft::Index last_index_ = 1;                    ///< Of the model; the founding snapshot is 1.
  protocol::Revision revision_ = 0;
  std::map<protocol::Revision, std::uint64_t> configurations_;  ///< Hash at each revision.
  std::map<core::ZoneName, ZoneModel> zones_;
  std::map<ChangeTag, Outcome> outcomes_;     ///< First outcome of each change.
  std::map<ChangeTag, FirstAnswer> answers_;  ///< First answer that an operator got.
  std::map<ChangeTag, raft::Index> sent_after_;
  std::map<core::DaemonId, protocol::Revision> daemon_revisions_;
  /// Indexes of the committed entries of one term; they are consecutive.
  struct Span {
    raft::Index first = 0;
    raft::Index last = 0;
  };
  std::map<raft::Term, Span> committed_;
  std::map<std::pair<core::ControlId, raft::Term>, core::LogPosition> candidates_;  ///< Where their logs end.
  /// Greatest index up to which a replica said that its log equals that of a term's leader.
  std::map<core::ControlId, std::map<raft::Term, raft::Index>> acknowledged_;
  raft::Index answered_index_ = 0;  ///< Greatest index of an answered change.
  protocol::Revision answered_revision_ = 0;
  std::size_t conflicts_ = 0;
  Resends resends_;
};

}  // namespace pipitpond::control_world
