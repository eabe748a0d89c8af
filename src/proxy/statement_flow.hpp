// Flow of a statement outside a transaction, and of a question about a key: policy, routing, attempts and the
// decision after each, until there is an answer.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <memory>

#include "core/ids.hpp"
#include "proxy/active_request.hpp"
#include "proxy/caller_answers.hpp"
#include "proxy/caller_requests.hpp"
#include "proxy/flow_parts.hpp"

namespace pipitpond::proxy {

/// Runs statements.
class StatementFlow {
 public:
  explicit StatementFlow(FlowParts& parts) : parts_(parts) {}

  /// Runs a statement to its final answer.
  boost::asio::awaitable<CallerAnswer> run(core::RequestId id, StatementRequest statement);
  /// Tells what became of a key, and settles it when asked to.
  boost::asio::awaitable<CallerAnswer> resolve(core::RequestId id, OutcomeRequest question);

 private:
  using Request = std::shared_ptr<ActiveRequest>;

  void apply_policy(ActiveRequest& request, const StatementRequest& statement);
  boost::asio::awaitable<retry::AttemptReport> attempt_write(Request request,
                                                             protocol::ForwardRequest forward);
  boost::asio::awaitable<retry::AttemptReport> attempt_read(Request request, protocol::ForwardRequest forward,
                                                            retry::NextTarget target);
  core::Result<routing::ReadCandidate> next_candidate(ActiveRequest& request, retry::NextTarget target);
  core::Result<void> choose_candidates(ActiveRequest& request);

  FlowParts& parts_;
};

}  // namespace pipitpond::proxy
