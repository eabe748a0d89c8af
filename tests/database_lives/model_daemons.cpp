// The daemons of the model, as one: which acknowledgements of databases they pass on to callers.
#include <algorithm>

#include "database_lives/model.hpp"
#include "protocol/configuration.hpp"
#include "protocol/tunables.hpp"

namespace pipitpond::database_lives {

void Model::on_change_begun() {
  daemons_learn_at_ = now_;
  if (options_.daemons_lag) {
    std::mt19937_64 draws = draws_for_call({});
    const core::Duration longest = protocol::kDaemonLease + protocol::kLeaseClockMargin;
    daemons_learn_at_ += core::Duration(draws() % static_cast<std::uint64_t>(longest.count()));
  }
}

void Model::on_acknowledged(const ModelDatabase& primary, Write write) {
  if (daemons_take_for_primary(primary)) {
    pass_on(primary, write);
  } else {
    undecided_.push_back(UndecidedWrite{write, primary.position_of(write)});
  }
}

bool Model::daemons_take_for_primary(const ModelDatabase& database) const {
  const auto& terms = machine_.configuration().groups.begin()->second.terms;
  const bool knows_newest = now_ >= daemons_learn_at_;
  auto known = terms.rbegin();
  while (!knows_newest && known != terms.rend() && known->primary.empty()) {
    ++known;
  }
  return known != terms.rend() && known->primary == database.id;
}

void Model::pass_on(const ModelDatabase& primary, Write write) {
  const bool is_lost = std::any_of(databases_.begin(), databases_.end(), [&](const ModelDatabase& other) {
    return other.primary && other.term > primary.term && !other.has(write);
  });
  if (is_lost) {
    broken_.push_back("LOST: " + primary.id.value() +
                      " acknowledged a write after its successor had begun to lead, at " +
                      std::to_string(now_ms()));
    return;
  }
  acknowledged_.push_back(write);
  ++acknowledged_total_;
}

void Model::on_change_completed(const core::DatabaseId& primary) {
  const protocol::Group& group = machine_.configuration().groups.begin()->second;
  const protocol::TermStart& start = group.terms.back();
  const ModelDatabase& successor = find(primary);
  for (const UndecidedWrite& undecided : undecided_) {
    if (!protocol::certainly_began_with(start, undecided.position)) {
      continue;
    }
    if (!successor.has(undecided.write)) {
      broken_.push_back("LOST: " + primary.value() + " lacks the write " +
                        std::to_string(undecided.position.term) + "." +
                        std::to_string(undecided.position.index) + ", which counts as kept, at " +
                        std::to_string(now_ms()));
      continue;
    }
    acknowledged_.push_back(undecided.write);
    ++acknowledged_total_;
  }
  undecided_.clear();
}

}  // namespace pipitpond::database_lives
