#include "database_lives/model_database.hpp"

#include <algorithm>

namespace pipitpond::database_lives {

bool ModelDatabase::has(Write write) const {
  return std::any_of(log.begin(), log.end(), [write](const Entry& entry) { return entry.write == write; });
}

core::LogPosition ModelDatabase::position_of(Write write) const {
  const auto found =
      std::find_if(log.begin(), log.end(), [write](const Entry& entry) { return entry.write == write; });
  return {found->term, static_cast<std::uint64_t>(found - log.begin()) + 1};
}

void ModelDatabase::receive(const std::vector<Entry>& of_primary) {
  const bool is_prefix = log.size() <= of_primary.size() &&
                         (log.empty() || log.back().write == of_primary[log.size() - 1].write);
  if (!is_prefix) {
    log.clear();
  }
  log.insert(log.end(), of_primary.begin() + static_cast<std::ptrdiff_t>(log.size()), of_primary.end());
}

void ModelDatabase::follow(core::Term newer) {
  primary = false;
  term = newer;
  held = 0;
  unacknowledged.clear();
}

void ModelDatabase::lead(core::Term newer) {
  primary = true;
  term = newer;
  held = 0;
  unacknowledged.clear();
}

void ModelDatabase::stop() {
  running = false;
  ended_under_order = orders_under_way > 0;
  held = 0;
  unacknowledged.clear();
}

void ModelDatabase::start(std::uint64_t now_ms, bool keeps_log) {
  running = true;
  draining = false;
  ended_under_order = false;
  born = std::max(born + 1, now_ms);
  next_heartbeat = {};
  if (!keeps_log) {
    log.clear();
    term = 1;
    primary = false;
  }
}

}  // namespace pipitpond::database_lives
