// The parts of the daemon that the flow of a request uses, and small steps that all flows share.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>

#include "agent/agent.hpp"
#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "protocol/configuration.hpp"
#include "proxy/active_request.hpp"
#include "proxy/caller_answers.hpp"
#include "proxy/database_views.hpp"
#include "proxy/dispatcher.hpp"
#include "proxy/policy_programs.hpp"
#include "proxy/progress_questions.hpp"
#include "proxy/term_confirmation.hpp"
#include "retry/budget.hpp"
#include "routing/explanation.hpp"
#include "session/token.hpp"

namespace pipitpond::proxy {

/// Parts that outlive every request.
struct FlowParts {
  boost::asio::io_context& io;
  core::DaemonId self;
  core::ZoneName zone;
  agent::Agent& agent;
  const session::FleetKey& fleet_key;
  PolicyPrograms& policies;
  DatabaseViews& views;
  Dispatcher& dispatcher;
  ProgressQuestions& progress_questions;
  TermConfirmation& confirmation;
  routing::ExplanationLog& explanations;
  std::map<core::GroupName, retry::RetryBudget>& retry_budgets;
  pcg32& random;
  std::string request_prefix;  ///< Makes identifiers unique in the fleet and over restarts.
  std::uint64_t last_request = 0;
};

/// A new request's identifier.
core::RequestId next_request_id(FlowParts& parts);

/// The group, or null when the configuration has none of that name (any more).
const protocol::Group* find_group(const FlowParts& parts, const core::GroupName& name);

/// Error for a group that the configuration has not.
core::Error unknown_group(const core::GroupName& name);

/// What a policy may look at, of this request.
policy::RequestFacts facts_of(const FlowParts& parts, const ActiveRequest& request, bool repeatable);

/// Starts a request in a group: reads its session and checks that its position has survived.
core::Result<std::shared_ptr<ActiveRequest>> start_request(FlowParts& parts, core::RequestId id,
                                                           core::GroupName group, const std::string& session,
                                                           std::uint32_t deadline_ms);

/// What the daemon knows now, for a decision about the request.
retry::Standing standing_of(const FlowParts& parts, const core::GroupName& group);

/// Notes a step for GET /v1/explain.
void explain(FlowParts& parts, const core::RequestId& request, const core::DatabaseId& database,
             std::string decision, std::string detail);

/// True when the session's position is known not to have survived a change of primary.
bool position_is_lost(const FlowParts& parts, const ActiveRequest& request);

/// True when this daemon reaches no majority of the group's databases, so that none can become primary.
bool group_is_lost(const FlowParts& parts, const core::GroupName& name);

/// Report of an attempt that was not made, or does not count, because the session's position was lost.
retry::AttemptReport lost_position_report(const ActiveRequest& request);

/// Replaces the report of a read that was done when its answer may come from a history without the session's
/// position. An answer of a term that this daemon does not know yet is kept until it does.
boost::asio::awaitable<void> check_read_position(FlowParts& parts, std::shared_ptr<ActiveRequest> request,
                                                 retry::AttemptReport& report);

/// Makes an attempt at the primary of the latest term; reports kNothingSent when there is none.
boost::asio::awaitable<retry::AttemptReport> attempt_at_primary(FlowParts& parts,
                                                                std::shared_ptr<ActiveRequest> request,
                                                                protocol::ForwardRequest forward,
                                                                core::Instant deadline);

/// Carries out settle and confirm steps until the decider answers or asks for another attempt.
boost::asio::awaitable<retry::NextStep> resolve_steps(FlowParts& parts,
                                                      std::shared_ptr<ActiveRequest> request,
                                                      retry::NextStep step);

/// The answer that a decider's last step stands for.
CallerAnswer make_answer(FlowParts& parts, ActiveRequest& request, const retry::AnswerStep& step);

}  // namespace pipitpond::proxy
