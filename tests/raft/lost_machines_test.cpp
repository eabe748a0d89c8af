// Random losses of control machines, each followed by the time that they get to catch up: as many as may be
// lost may then be lost again, whatever was restarted meanwhile.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "raft/cluster.hpp"
#include "raft/node.hpp"

namespace pipitpond::raft {
namespace {

using std::chrono::milliseconds;
using testing::Cluster;
using testing::member;
using testing::replica;

/// Machines that came, or came back, count again after this time.
constexpr milliseconds kCatchUp(4'000);
constexpr milliseconds kElectionLimit(4'000);
constexpr milliseconds kJoinRequestInterval(100);
constexpr int kRounds = 10;

enum class Loss : std::uint8_t { kReplaced, kDiskLost, kCutOff, kStopped };

struct Machine {
  Member self;
  int identities = 1;
};

class LostMachines {
 public:
  LostMachines(std::uint64_t seed, int machines, std::size_t tolerated_losses)
      : random_(seed), tolerated_losses_(tolerated_losses), cluster_(machines, true) {
    cluster_.set_min_voters(2 * tolerated_losses + 1);
    for (int number = 1; number <= machines; ++number) machines_.push_back({member(replica(number))});
    next_number_ = machines + 1;
    cluster_.await_leader();
  }

  /// Plays one loss and the time to catch up.
  void lose_some() {
    const auto loss = static_cast<Loss>(draw(4));
    const auto lost = draw_machines(1 + draw(tolerated_losses_));
    played_ += "; " + std::to_string(lost.size()) + " lost as " + std::to_string(static_cast<int>(loss));
    begin(loss, lost);
    run_for(draw_time(loss == Loss::kReplaced || loss == Loss::kDiskLost ? 1'500 : 8'000));
    end(loss, lost);
    while (draw(2) == 0) {
      const auto moment = draw_time(1'500);
      played_ += ", all restart after " + std::to_string(moment.count()) + " ms";
      run_for(moment);
      restart_all();
    }
    run_for(kCatchUp);
  }

  /// Stops as many machines as may be lost; true if the others elect a leader. The machines return
  /// afterwards.
  bool bears_the_tolerated_losses() {
    auto lost = draw_machines(tolerated_losses_);
    if (Node* leader = cluster_.leader(); leader != nullptr && draw(2) == 0) {
      const auto leading = index_of(leader->config().id);
      if (std::find(lost.begin(), lost.end(), leading) == lost.end()) lost.front() = leading;
    }
    begin(Loss::kStopped, lost);
    const auto has_leader = [&] {
      ask_to_join();
      Node* elected = cluster_.leader();
      return elected != nullptr && elected->has_committed_in_current_term();
    };
    const bool elected = cluster_.run_until(has_leader, kElectionLimit);
    end(Loss::kStopped, lost);
    run_for(kCatchUp);
    return elected;
  }

  [[nodiscard]] const std::string& played() const { return played_; }

 private:
  std::size_t draw(std::size_t count) { return random_() % count; }
  milliseconds draw_time(std::size_t limit_millis) {
    return milliseconds(static_cast<std::int64_t>(draw(limit_millis)));
  }

  std::vector<std::size_t> draw_machines(std::size_t count) {
    std::vector<std::size_t> all(machines_.size());
    for (std::size_t index = 0; index < all.size(); ++index) all[index] = index;
    std::shuffle(all.begin(), all.end(), random_);
    all.resize(count);
    return all;
  }

  std::size_t index_of(const core::ControlId& id) const {
    const auto found = std::find_if(machines_.begin(), machines_.end(),
                                    [&](const Machine& machine) { return machine.self.id == id; });
    return static_cast<std::size_t>(found - machines_.begin());
  }

  void begin(Loss loss, const std::vector<std::size_t>& lost) {
    stopped_.clear();
    for (const auto index : lost) {
      const auto& id = machines_[index].self.id;
      stopped_.push_back(cluster_.at(id).persisted);
      if (loss == Loss::kCutOff) {
        cluster_.isolate(id);
      } else {
        cluster_.stop(id);
      }
    }
  }

  void end(Loss loss, const std::vector<std::size_t>& lost) {
    for (std::size_t position = 0; position < lost.size(); ++position) {
      auto& machine = machines_[lost[position]];
      if (loss == Loss::kCutOff) {
        cluster_.reconnect(machine.self.id);
        continue;
      }
      if (loss == Loss::kReplaced) machine = new_machine();
      if (loss == Loss::kDiskLost) machine.self.id = next_identity(machine);
      cluster_.start(machine.self.id, loss == Loss::kStopped ? stopped_[position] : PersistedState{});
    }
  }

  Machine new_machine() {
    Machine machine{member(replica(next_number_))};
    machine.self.internal.port = static_cast<std::uint16_t>(1'000 + next_number_);
    ++next_number_;
    return machine;
  }

  static core::ControlId next_identity(Machine& machine) {
    const auto& id = machine.self.id.value();
    return core::ControlId(id.substr(0, id.find('#')) + "#" + std::to_string(++machine.identities));
  }

  void restart_all() {
    for (const auto& machine : machines_) cluster_.restart(machine.self.id);
  }

  void ask_to_join() {
    if (cluster_.now < next_request_) return;
    next_request_ = cluster_.now + kJoinRequestInterval;
    Node* leader = cluster_.leader();
    for (const auto& machine : machines_) {
      if (leader == nullptr || cluster_.is_isolated(machine.self.id)) continue;
      if (!cluster_.is_running(machine.self.id)) continue;
      const Node& node = cluster_.node(machine.self.id);
      if (&node != leader && node.wants_to_join())
        leader->step(cluster_.now, node.join_request(machine.self));
    }
  }

  void run_for(milliseconds time) {
    cluster_.run_until(
        [this] {
          ask_to_join();
          return false;
        },
        time);
  }

  std::mt19937_64 random_;
  std::size_t tolerated_losses_;
  Cluster cluster_;
  std::vector<Machine> machines_;
  std::vector<PersistedState> stopped_;
  int next_number_ = 0;
  core::Instant next_request_{};
  std::string played_;
};

struct Size {
  int machines;
  std::size_t tolerated_losses;
};

class LostMachinesTest : public ::testing::TestWithParam<Size> {};

TEST_P(LostMachinesTest, NoLossesAddUpOnceTheyHadTheTimeToCatchUp) {
  constexpr std::uint64_t kSeeds = 12;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    LostMachines play(seed, GetParam().machines, GetParam().tolerated_losses);
    for (int round = 0; round < kRounds; ++round) {
      play.lose_some();
      ASSERT_TRUE(play.bears_the_tolerated_losses()) << "seed " << seed << play.played();
    }
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes, LostMachinesTest,
                         ::testing::Values(Size{3, 1}, Size{4, 1}, Size{5, 1}, Size{5, 2}, Size{6, 2},
                                           Size{7, 2}, Size{9, 2}));

}  // namespace
}  // namespace pipitpond::raft
