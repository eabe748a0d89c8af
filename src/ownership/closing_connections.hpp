// Connections to a database that this owner can't use and the database may still count. No input or output.
//
// The owners' budgets add up to a database's limit, so the limit holds as long as each owner keeps what it
// holds there within its budget. A database holds a connection until it has seen the end of it, which takes
// as long as the database is frozen or cut off. So a connection that was given up stays counted here until
// one of these shows that the database holds it no longer:
// - the database closed its side, which it does when it has read the end of the stream;
// - its status, asked after the connection was given up, counts no more connections than this owner has open;
// - it has answered for longer than its idle timeout since then (the end of the stream got lost for good).
//
// The share itself may have had a holder before: this daemon's earlier life, or a daemon that was lost. A
// database that was frozen meanwhile still counts that one's connections when it thaws, and reads then what
// was sent on them. So when an owner's first question to a database found it silent, all that its statuses
// count besides this owner's open ones may be such connections, until it has answered for longer than its
// idle timeout. A database whose process is not running refuses the question, and holds none.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::ownership {

/// How long a database that answers may still hold a connection without traffic: its idle timeout, with room
/// for clocks whose rates differ and for the statement that was running on it.
inline constexpr core::Duration kLongestUnseenClose = protocol::kDatabaseIdleTimeout * 5 / 4;

/// An owner's closing connections to one database.
class ClosingConnections {
 public:
  /// Names a connection; unique among those of one pool.
  using Id = std::uint64_t;

  /// A connection was given up. `acknowledged` says whether the database had answered that it is open; one
  /// that it had not may come to be counted later than the next status.
  void give_up(Id id, core::Instant now, bool acknowledged);
  /// The database has closed its side. Harmless for an unknown one.
  void on_closed(Id id) { closing_.erase(id); }
  /// A question for its status found no answer. `refused`: no connection could be made for it.
  void on_no_answer(bool refused) { silent_ = !refused; }
  /// The database has answered at `now` a question for its status that was asked at `asked_at`. It counted
  /// `counted` connections of all owners; `own_open` of them are known to be this owner's: they were open
  /// throughout. Returns those that it surely holds no longer; they are forgotten.
  std::vector<Id> on_status(core::Instant asked_at, core::Instant now, std::uint32_t counted,
                            std::uint32_t own_open);

  /// Of those given up, what counts against the budget.
  [[nodiscard]] std::uint32_t count() const { return static_cast<std::uint32_t>(closing_.size()); }
  /// The most that a former holder of the share may still hold. Counts against the budget when opening.
  [[nodiscard]] std::uint32_t inherited() const { return inherited_; }
  /// Those that were given up within kLongestUnseenClose. A database that has not answered for so long opens
  /// no connection for anybody, so older ones need not keep others from using theirs elsewhere.
  [[nodiscard]] std::uint32_t count_recent(core::Instant now) const;

 private:
  struct Closing {
    core::Instant given_up;
    bool acknowledged = false;
    /// When the first status was answered that was asked after it was given up; zero: none yet.
    core::Instant answered_since;
  };

  void bound_inherited(core::Instant now, std::uint32_t others);

  std::map<Id, Closing> closing_;
  bool silent_ = false;  ///< The last question that found no answer was not refused either.
  std::optional<core::Instant> first_answer_;
  std::uint32_t inherited_ = 0;
};

}  // namespace pipitpond::ownership
