// The databases of the model: writes, replication and promotion.
#include <algorithm>

#include "database_lives/model.hpp"

namespace pipitpond::database_lives {

using std::chrono::milliseconds;

namespace {

/// A primary that can reach a newer one goes on for this long.
constexpr milliseconds kReplacedGoesOn(1000);

}  // namespace

ModelDatabase& Model::find(const core::DatabaseId& id) {
  const auto found = std::find_if(databases_.begin(), databases_.end(),
                                  [&](const ModelDatabase& database) { return database.id == id; });
  // Ids of other writers name no database: the last one stands for nobody.
  static ModelDatabase nobody;
  nobody.running = false;
  nobody.id = id;
  return found == databases_.end() ? nobody : *found;
}

void Model::write_and_replicate() {
  for (ModelDatabase& database : databases_) {
    if (!database.running || !database.primary) {
      continue;
    }
    if (one_in(3)) {
      database.log.push_back(Entry{database.term, ++last_write_});
      if (database.unacknowledged.empty()) {
        database.unacknowledged_since = now_;
      }
      database.unacknowledged.insert(last_write_);
    }
    replicate_from(database);
  }
}

bool Model::reaches_newer_primary(const ModelDatabase& replica, core::Term term) const {
  return replica.linked() &&
         std::any_of(databases_.begin(), databases_.end(), [&](const ModelDatabase& other) {
           return other.linked() && other.primary && other.term > term;
         });
}

/// A write is acknowledged once one replica has received it. Replicas follow the newest primary that they
/// reach.
void Model::replicate_from(ModelDatabase& primary) {
  if (!primary.linked()) {
    return;
  }
  for (ModelDatabase& replica : databases_) {
    const bool may_receive = replica.held == 0 || ends_hold(replica, primary);
    const bool receives = &replica != &primary && replica.linked() && !replica.deaf && !replica.primary &&
                          may_receive && primary.term >= replica.term;
    if (!receives || reaches_newer_primary(replica, primary.term)) {
      continue;
    }
    replica.receive(primary.log);
    replica.follow(primary.term);
    for (const Write write : primary.unacknowledged) {
      on_acknowledged(primary, write);
    }
    primary.unacknowledged.clear();
  }
}

bool Model::ends_hold(const ModelDatabase& replica, const ModelDatabase& primary) const {
  const bool is_later = !options_.late_orders || primary.leads_since > replica.held_since;
  return primary.term > replica.term && is_later;
}

void Model::retire_replaced_primaries() {
  const ModelDatabase* newest = nullptr;
  for (const ModelDatabase& database : databases_) {
    if (database.linked() && database.primary && (newest == nullptr || database.term > newest->term)) {
      newest = &database;
    }
  }
  for (ModelDatabase& database : databases_) {
    const bool replaced =
        newest != nullptr && database.linked() && database.primary && database.term < newest->term;
    if (!replaced) {
      database.reaches_newer_since = {};
    } else if (database.reaches_newer_since == core::Instant{}) {
      database.reaches_newer_since = now_;
    } else if (now_ - database.reaches_newer_since >= kReplacedGoesOn) {
      database.follow(newest->term);
    }
  }
}

void Model::promote(const failover::PromoteDatabase& call, std::uint64_t born) {
  --promotions_under_way_;
  ModelDatabase& chosen = find(call.database);
  if (!chosen.running || chosen.born != born) {
    coordinator_.on_promote_failed(now_, call.group, call.database, call.term);
    return;
  }
  const core::LogPosition start = chosen.end();
  lead_next_term(chosen);
  coordinator_.on_promote_answer(now_, call.group, database::PromoteAnswer{call.database, call.term, start});
}

void Model::lead_next_term(ModelDatabase& chosen) {
  for (const ModelDatabase& database : databases_) {
    newest_term_ = std::max(newest_term_, database.term);
  }
  ++newest_term_;
  for (ModelDatabase& database : databases_) {
    if (&database != &chosen && !database.primary && database.linked()) {
      database.follow(newest_term_);
    }
  }
  chosen.lead(newest_term_);
  chosen.leads_since = now_;
  judge_promoted(chosen);
}

void Model::judge_promoted(const ModelDatabase& database) {
  ++promotions_;
  tell(database.id.value() + " leads term " + std::to_string(database.term) + " with " +
       std::to_string(database.log.size()) + " entries");
  std::set<Write> kept;
  for (const Entry& entry : database.log) {
    kept.insert(entry.write);
  }
  const auto lost = std::erase_if(acknowledged_, [&](Write write) { return !kept.contains(write); });
  if (lost > 0) {
    broken_.push_back("LOST: " + database.id.value() + " leads without " + std::to_string(lost) +
                      " acknowledged writes, at " + std::to_string(now_ms()));
  }
}

/// Whether an acknowledged write is in this log alone.
bool Model::is_last_copy(const ModelDatabase& database) const {
  std::set<Write> elsewhere;
  for (const ModelDatabase& other : databases_) {
    if (&other != &database) {
      for (const Entry& entry : other.log) {
        elsewhere.insert(entry.write);
      }
    }
  }
  return std::any_of(acknowledged_.begin(), acknowledged_.end(),
                     [&](Write write) { return !elsewhere.contains(write) && database.has(write); });
}

}  // namespace pipitpond::database_lives
