// One caller request in a simulated daemon: the same steps as the daemon's statement flow, with callbacks in
// place of coroutines.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "retry/decider.hpp"
#include "routing/read_choice.hpp"
#include "session/token.hpp"
#include "simulation_group/caller_messages.hpp"
#include "simulation_group/daemon_node.hpp"

namespace pipitpond::simulation::group {

class RequestFlow : public std::enable_shared_from_this<RequestFlow> {
 public:
  RequestFlow(DaemonNode& daemon, CallerRequest request, DaemonNode::Answer answer);

  void start();

 private:
  void refuse(const core::Error& error);
  void attempt();
  void attempt_write();
  void attempt_read();
  void attempt_at_primary(protocol::ForwardRequest forward, core::Instant deadline,
                          std::function<void(const retry::AttemptReport&)> done);
  core::Result<routing::ReadCandidate> next_candidate();
  void after_attempt(const retry::AttemptReport& report);
  void take(const retry::NextStep& step);
  void settle();
  void after_settle(const retry::AttemptReport& attempt);
  void confirm(core::Term term);
  void answer(const retry::AnswerStep& step);
  [[nodiscard]] protocol::ForwardRequest forward() const;
  [[nodiscard]] core::Instant resolve_deadline() const;
  [[nodiscard]] bool is_write() const { return request_.kind == core::StatementKind::kWrite; }

  DaemonNode& daemon_;
  CallerRequest request_;
  DaemonNode::Answer answer_;
  core::Instant started_;
  core::Instant deadline_;
  session::SessionToken token_;
  std::optional<retry::RetryDecider> decider_;
  retry::NextTarget target_ = retry::NextTarget::kNextReplica;
  std::vector<routing::ReadCandidate> candidates_;
  std::size_t next_candidate_ = 0;
  protocol::ForwardReply reply_;
  core::Term asked_term_ = 0;  ///< Term named by the last attempt at a primary.
};

}  // namespace pipitpond::simulation::group
