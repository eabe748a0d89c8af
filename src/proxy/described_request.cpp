#include "proxy/described_request.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "policy/program.hpp"
#include "routing/read_choice.hpp"

namespace pipitpond::proxy {
namespace {

using nlohmann::json;

json entry_of(const core::DatabaseId& database, std::string_view decision, bool tried) {
  return {{"database", database}, {"decision", decision}, {"tried", tried}};
}

json json_of(const policy::ReadRule& rule) {
  json fields = {{"target", policy::to_string(rule.target)},
                 {"wait_ms", rule.wait_ms},
                 {"fallback", policy::to_string(rule.fallback)}};
  if (rule.max_staleness_ms) {
    fields["max_staleness_ms"] = *rule.max_staleness_ms;
  }
  return fields;
}

json json_of(const policy::RetryRule& rule) {
  return {{"attempts", rule.attempts}, {"repeatable_writes", rule.repeatable_writes}};
}

json json_of(const core::Error& error) {
  return {{"kind", core::to_string(error.kind)}, {"message", error.message}, {"remedy", error.remedy}};
}

/// The rule, or the safe choice and why it was taken.
template <typename Rule>
Rule rule_or_safe_choice(const core::Result<Rule>& rule, json& answer) {
  if (!rule) {
    answer["policy_error"] = json_of(rule.error());
    return Rule{};
  }
  return rule.value();
}

void explain_read(FlowParts& parts, const routing::GroupView& view, const routing::ReadNeed& need,
                  core::Instant now, json& answer) {
  const routing::ReadChoice choice =
      routing::choose_read(view, parts.views.progress(view.group), need, now, parts.random);
  for (const routing::ReadCandidate& candidate : choice.candidates) {
    answer["databases"].push_back(entry_of(candidate.database, routing::to_string(candidate.reason), true));
  }
  for (const routing::Rejection& rejection : choice.rejected) {
    answer["databases"].push_back(entry_of(rejection.database, routing::to_string(rejection.reason), false));
  }
  if (choice.candidates.empty()) {
    answer["error"] = json_of(routing::no_candidate(view, choice));
  }
}

void explain_write(const routing::GroupView& view, json& answer) {
  const auto primary = routing::choose_write(view);
  if (!primary) {
    answer["error"] = json_of(primary.error());
    return;
  }
  answer["databases"].push_back(entry_of(primary.value(), "primary", true));
}

}  // namespace

core::Result<json> explain_described(FlowParts& parts, const StatementRequest& request) {
  const protocol::Group* group = find_group(parts, request.group);
  if (group == nullptr) {
    return core::outcome::failure(unknown_group(request.group));
  }
  BOOST_OUTCOME_TRY(token, session::SessionToken::decode(request.session, parts.fleet_key));
  const core::LogPosition position = token.position(request.group);
  if (session::check(position, *group) == session::PositionCheck::kLost) {
    return core::outcome::failure(session::position_lost(request.group, position));
  }
  ActiveRequest described;
  described.group = request.group;
  described.tenant = request.tenant;
  described.kind = request.kind;
  described.key = request.key;
  described.token = token;
  const policy::RequestFacts facts = facts_of(parts, described, request.repeatable);
  policy::Program& program = parts.policies.of(*group);
  const core::Instant now = core::BootClock::now();
  const routing::GroupView view = parts.views.view(parts.agent.configuration(), *group, now);
  json answer = {{"group", request.group},
                 {"term", view.term},
                 {"primary", view.primary},
                 {"policy", group->policy},
                 {"databases", json::array()}};
  answer["retry"] = json_of(rule_or_safe_choice(program.try_retry(facts), answer));
  if (request.kind == core::StatementKind::kWrite) {
    explain_write(view, answer);
    return answer;
  }
  routing::ReadNeed need;
  need.min_position = position;
  need.rule = rule_or_safe_choice(program.try_read(facts), answer);
  need.time_left = std::chrono::milliseconds(request.deadline_ms);
  answer["read"] = json_of(need.rule);
  explain_read(parts, view, need, now, answer);
  return answer;
}

}  // namespace pipitpond::proxy
