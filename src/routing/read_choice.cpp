#include "routing/read_choice.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace pipitpond::routing {
namespace {

/// How much longer a request to another zone or region is assumed to take, when a nearer database is busy.
constexpr core::Duration kOtherZoneCost = std::chrono::milliseconds(3);
constexpr core::Duration kOtherRegionCost = std::chrono::milliseconds(50);
/// When a change of primary is in progress, callers are told to come back after this.
constexpr std::uint32_t kFailoverRetryAfterMs = 200;
/// Assumed latency of a database that has not answered yet.
constexpr core::Duration kUnknownLatency = std::chrono::milliseconds(1);

enum class Distance : std::uint8_t { kSameZone, kSameRegion, kOtherRegion };
constexpr std::size_t kDistances = 3;

/// A candidate with what its order depends on.
struct Ranked {
  ReadCandidate candidate;
  Distance distance = Distance::kSameZone;
  core::Duration queueing;  ///< Expected time in the database's queue.
};

Distance distance_of(const GroupView& group, const ReplicaView& view) {
  if (view.zone == group.local_zone) {
    return Distance::kSameZone;
  }
  return view.region == group.local_region ? Distance::kSameRegion : Distance::kOtherRegion;
}

core::Duration distance_cost(Distance distance) {
  constexpr std::array kCosts = {core::Duration(0), kOtherZoneCost, kOtherRegionCost};
  return kCosts.at(static_cast<std::size_t>(distance));
}

core::Duration queueing_of(const ReplicaView& view) {
  const core::Duration latency = std::max(view.latency_average, kUnknownLatency);
  return latency * view.in_flight / std::max(view.slots, 1U);
}

/// Power of two choices: of the first two in random order the less loaded leads, so that daemons that see the
/// same figures do not all pick the same database.
void spread_load(std::vector<Ranked>& ranked, pcg32& random) {
  for (std::size_t place = ranked.size(); place > 1; --place) {
    std::swap(ranked[place - 1], ranked[random(static_cast<std::uint32_t>(place))]);
  }
  for (std::size_t place = 0; place + 1 < ranked.size(); ++place) {
    if (ranked[place + 1].queueing < ranked[place].queueing) {
      std::swap(ranked[place], ranked[place + 1]);
    }
  }
}

/// Nearest first, unless the wait there exceeds the cost of going further.
std::vector<Ranked> order_by_distance(std::vector<Ranked> ranked, pcg32& random) {
  std::array<std::vector<Ranked>, kDistances> classes;
  for (Ranked& entry : ranked) {
    classes.at(static_cast<std::size_t>(entry.distance)).push_back(std::move(entry));
  }
  std::vector<Ranked> ordered;
  for (std::vector<Ranked>& members : classes) {
    spread_load(members, random);
    ordered.insert(ordered.end(), members.begin(), members.end());
  }
  const auto total_cost = [](const Ranked& entry) { return entry.queueing + distance_cost(entry.distance); };
  for (std::size_t place = 1; place < ordered.size(); ++place) {
    if (ordered[place].distance != ordered.front().distance &&
        total_cost(ordered[place]) < total_cost(ordered.front())) {
      std::rotate(ordered.begin(), ordered.begin() + static_cast<std::ptrdiff_t>(place),
                  ordered.begin() + static_cast<std::ptrdiff_t>(place) + 1);
    }
  }
  return ordered;
}

/// Builds the choice for one read.
class ReadChooser {
 public:
  ReadChooser(const GroupView& view, const GroupProgress& progress, const ReadNeed& need, core::Instant now)
      : view_(view), progress_(progress), need_(need), now_(now) {}

  ReadChoice choose(pcg32& random) {
    for (const ReplicaView& database : view_.databases) {
      place(database);
    }
    append(order_by_distance(std::move(fresh_), random));
    append(order_by_wait());
    if (primary_fallback_) {
      choice_.candidates.push_back(*primary_fallback_);
    }
    if (choice_.candidates.empty()) {
      append_late_replicas();
    }
    return std::move(choice_);
  }

 private:
  void place(const ReplicaView& database) {
    if (!usable(database)) {
      reject(database, database.reachable ? RejectionReason::kLeaving : RejectionReason::kUnreachable);
    } else if (database.database == view_.primary) {
      place_primary(database);
    } else {
      place_replica(database);
    }
  }

  void place_primary(const ReplicaView& database) {
    switch (need_.rule.target) {
      case policy::ReadTarget::kPrimary:
        primary_fallback_ = candidate(database, ChoiceReason::kPrimaryByPolicy);
        break;
      case policy::ReadTarget::kNearest:
        fresh_.push_back(rank(database, ChoiceReason::kPrimaryNearest));
        break;
      case policy::ReadTarget::kReplica:
        if (need_.rule.fallback == policy::Fallback::kPrimary) {
          primary_fallback_ = candidate(database, ChoiceReason::kPrimaryFallback);
        } else {
          reject(database, RejectionReason::kExcludedByPolicy);
        }
        break;
    }
  }

  void place_replica(const ReplicaView& database) {
    if (need_.rule.target == policy::ReadTarget::kPrimary) {
      reject(database, RejectionReason::kExcludedByPolicy);
    } else if (too_stale_for_policy(database)) {
      reject(database, RejectionReason::kStalePolicy);
    } else if (core::covers(database.applied, need_.min_position)) {
      fresh_.push_back(rank(database, ChoiceReason::kFreshReplica));
    } else {
      place_replica_behind(database);
    }
  }

  void place_replica_behind(const ReplicaView& database) {
    const auto wait = progress_.expected_wait(database.database, need_.min_position, now_);
    if (wait && *wait <= allowed_wait()) {
      waiting_.emplace_back(*wait, rank(database, ChoiceReason::kWaitForReplica));
    } else {
      late_.push_back(database);
      reject(database, RejectionReason::kBehindSession);
    }
  }

  [[nodiscard]] bool too_stale_for_policy(const ReplicaView& database) const {
    if (!need_.rule.max_staleness_ms) {
      return false;
    }
    const std::chrono::milliseconds limit(*need_.rule.max_staleness_ms);
    return !database.staleness || *database.staleness > limit;
  }

  [[nodiscard]] core::Duration allowed_wait() const {
    const core::Duration by_policy = std::chrono::milliseconds(need_.rule.wait_ms);
    return std::max(core::Duration(0), std::min(by_policy, need_.time_left));
  }

  [[nodiscard]] ReadCandidate candidate(const ReplicaView& database, ChoiceReason reason) const {
    ReadCandidate result;
    result.database = database.database;
    result.reason = reason;
    // Also when it is expected to be fresh: the view may be wrong, and a short wait costs less than a further
    // try.
    result.wait_ms = static_cast<std::uint32_t>(core::to_millis(allowed_wait()));
    result.is_primary = database.database == view_.primary;
    return result;
  }

  [[nodiscard]] Ranked rank(const ReplicaView& database, ChoiceReason reason) const {
    return Ranked{candidate(database, reason), distance_of(view_, database), queueing_of(database)};
  }

  std::vector<Ranked> order_by_wait() {
    std::sort(waiting_.begin(), waiting_.end(), [](const auto& left, const auto& right) {
      return left.first + distance_cost(left.second.distance) <
             right.first + distance_cost(right.second.distance);
    });
    std::vector<Ranked> ordered;
    for (auto& [wait, entry] : waiting_) {
      ordered.push_back(std::move(entry));
    }
    return ordered;
  }

  /// Without any candidate (the primary is lost or barred), replicas that are behind are the only hope: they
  /// are given the policy's whole wait.
  void append_late_replicas() {
    if (need_.rule.wait_ms == 0) {
      return;
    }
    for (const ReplicaView& database : late_) {
      choice_.candidates.push_back(candidate(database, ChoiceReason::kWaitForReplica));
    }
  }

  void append(const std::vector<Ranked>& ranked) {
    for (const Ranked& entry : ranked) {
      choice_.candidates.push_back(entry.candidate);
    }
  }

  void reject(const ReplicaView& database, RejectionReason reason) {
    choice_.rejected.push_back(Rejection{database.database, reason});
  }

  const GroupView& view_;
  const GroupProgress& progress_;
  const ReadNeed& need_;
  core::Instant now_;
  ReadChoice choice_;
  std::vector<Ranked> fresh_;
  std::vector<std::pair<core::Duration, Ranked>> waiting_;
  std::vector<ReplicaView> late_;
  std::optional<ReadCandidate> primary_fallback_;
};

}  // namespace

std::string_view to_string(ChoiceReason reason) {
  constexpr std::array kTexts = {std::string_view("fresh_replica"), std::string_view("wait_for_replica"),
                                 std::string_view("primary_by_policy"), std::string_view("primary_nearest"),
                                 std::string_view("primary_fallback")};
  return kTexts.at(static_cast<std::size_t>(reason));
}

std::string_view to_string(RejectionReason reason) {
  constexpr std::array kTexts = {std::string_view("unreachable"), std::string_view("leaving"),
                                 std::string_view("behind_session"), std::string_view("stale_policy"),
                                 std::string_view("excluded_by_policy")};
  return kTexts.at(static_cast<std::size_t>(reason));
}

ReadChoice choose_read(const GroupView& view, const GroupProgress& progress, const ReadNeed& need,
                       core::Instant now, pcg32& random) {
  return ReadChooser(view, progress, need, now).choose(random);
}

core::Error no_candidate(const GroupView& view, const ReadChoice& choice) {
  const bool only_freshness =
      std::any_of(choice.rejected.begin(), choice.rejected.end(), [](const Rejection& rejection) {
        return rejection.reason == RejectionReason::kBehindSession ||
               rejection.reason == RejectionReason::kStalePolicy;
      });
  if (only_freshness) {
    return core::Error{core::ErrorKind::kStale,
                       "No database of group " + view.group.value() + " is fresh enough for this read.",
                       "Try again later, or let the policy wait longer or fall back to the primary.",
                       kFailoverRetryAfterMs};
  }
  return core::Error{core::ErrorKind::kUnavailable,
                     "No database of group " + view.group.value() + " can serve this read now.",
                     "Try again later; pipitctl status shows what is wrong with its databases.",
                     kFailoverRetryAfterMs};
}

core::Result<core::DatabaseId> choose_write(const GroupView& view) {
  if (view.primary.empty()) {
    return core::fail(
        core::ErrorKind::kUnavailable,
        "Group " + view.group.value() + " has no primary at term " + std::to_string(view.term) + ".",
        "Try again: a change of primary is in progress.", kFailoverRetryAfterMs);
  }
  const auto primary =
      std::find_if(view.databases.begin(), view.databases.end(),
                   [&view](const ReplicaView& database) { return database.database == view.primary; });
  if (primary == view.databases.end() || !primary->reachable) {
    return core::fail(
        core::ErrorKind::kUnavailable,
        "The primary " + view.primary.value() + " of group " + view.group.value() + " can't be reached.",
        "Try again: it is replaced once a majority of its owners miss it.", kFailoverRetryAfterMs);
  }
  return view.primary;
}

core::Result<core::DatabaseId> choose_begin(const GroupView& view) {
  BOOST_OUTCOME_TRY(primary, choose_write(view));
  const auto is_leaving = [&primary](const ReplicaView& database) {
    return database.database == primary && (database.leaving || database.draining);
  };
  const bool leaves = std::any_of(view.databases.begin(), view.databases.end(), is_leaving);
  if (leaves && std::any_of(view.databases.begin(), view.databases.end(), usable)) {
    return core::fail(core::ErrorKind::kUnavailable,
                      "The primary " + primary.value() + " of group " + view.group.value() +
                          " is being stopped and takes no new transactions.",
                      "Try again: another database becomes primary.", kFailoverRetryAfterMs);
  }
  return primary;
}

}  // namespace pipitpond::routing
