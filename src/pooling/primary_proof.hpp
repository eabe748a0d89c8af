// Whether a database surely was its group's primary when it was asked, shown by the databases of the group
// themselves, without control. No input or output.
//
// A write is acknowledged only once a database other than the primary has received it. Take a round of
// questions, all sent at or after a moment s. If the presumed primary answers that it leads a term, and of
// the other databases all but one answer that their logs hold nothing of a later term, then no write of a
// later term had been acknowledged before s: a later primary could only be the one that was not heard, and
// whoever gave it a receipt would show that write in its log. So every write acknowledged before s is in the
// presumed primary's log, up to the position that it showed, and stays there: a primary that is replaced
// keeps the part of its log that its successor has. Nothing that happens after the answers makes this false,
// so that a frozen or slow asker does no harm.
//
// It rests on three things. A database keeps its log over restarts. A receipt follows the entry's arrival in
// the log. The group never has more databases that can give receipts than the asker's configuration lists: a
// database is replaced by one at its address, after it has ended. So an old configuration does no harm
// either: each database that was replaced without the asker's knowledge is one that can't be heard, and at
// most one may be missing. Databases that have left count as not heard for as long as the configuration lists
// them.
#pragma once

#include <cstddef>
#include <map>
#include <optional>

#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "pooling/backend.hpp"

namespace pipitpond::pooling {

/// One round of questions to the databases of a group.
class PrimaryProof {
 public:
  /// `members` counts the databases of the group, the presumed primary included.
  PrimaryProof(core::DatabaseId primary, std::size_t members);

  /// A database's answer to a question of this round.
  void note(const core::DatabaseId& database, const BackendStatus& status);

  /// The answers show that the database is not the primary, or that a change is under way.
  [[nodiscard]] bool refuted() const;
  /// The position up to which the primary's log holds every write acknowledged before the round; empty while
  /// it is not shown.
  [[nodiscard]] std::optional<core::LogPosition> position() const;

 private:
  [[nodiscard]] bool bears_witness(const BackendStatus& status) const;

  core::DatabaseId primary_;
  std::size_t witnesses_needed_;
  std::optional<BackendStatus> primary_status_;
  std::map<core::DatabaseId, BackendStatus> others_;
};

}  // namespace pipitpond::pooling
