// A simulated caller: one session that writes with and without keys, resends through another daemon, and
// reads with its token.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "simulation_group/caller_messages.hpp"
#include "simulation_group/daemon_node.hpp"
#include "simulation_group/records.hpp"

namespace pipitpond::simulation::group {

/// How a caller behaves.
struct CallerOptions {
  std::string name;
  core::GroupName group;
  core::Duration pause_min = std::chrono::milliseconds(10);
  core::Duration pause_max = std::chrono::milliseconds(80);
  std::uint32_t reads_per_mille = 400;
  std::uint32_t without_key_per_mille = 200;
  std::uint32_t lost_answers_per_mille = 20;
  std::uint32_t changes_daemon_per_mille = 150;
  /// Sends of writes after which the caller waits only a short time before it asks another daemon as well.
  std::uint32_t impatient_per_mille = 300;
};

class CallerNode {
 public:
  CallerNode(Fabric& fabric, CallerOptions options, std::vector<DaemonNode*> daemons, History& history);

  void start();
  /// Finishes what is in progress and begins nothing more.
  void stop() { stopping_ = true; }

  [[nodiscard]] Host& host() { return host_; }

 private:
  void next();
  void write();
  void send_write(std::size_t record);
  void after_write(std::size_t record, const CallEnd<CallerReply>& end);
  void resend_or_give_up(std::size_t record);
  void read();
  void after_read(std::size_t read, const CallEnd<CallerReply>& end);
  void take_session(const CallerReply& reply);
  void start_over();
  void change_daemon();
  void send(const CallerRequest& request, std::function<void(const CallEnd<CallerReply>&)> done);
  [[nodiscard]] std::string own_row() const;

  Fabric& fabric_;
  CallerOptions options_;
  std::vector<DaemonNode*> daemons_;
  History& history_;
  Host host_;
  std::size_t daemon_ = 0;
  std::string session_;
  std::uint64_t written_ = 0;
  std::uint64_t row_ = 0;
  std::map<std::string, std::int64_t> least_;  ///< By row, what a read must show.
  bool stopping_ = false;
};

}  // namespace pipitpond::simulation::group
