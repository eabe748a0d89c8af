#include "policy/program.hpp"

#include <map>
#include <tuple>
#include <utility>
#include <vector>

#include "policy/evaluation.hpp"
#include "policy/lua_state.hpp"

namespace pipitpond::policy {
namespace {

/// Most rules that a program remembers of each function; all are dropped when there are more.
constexpr std::size_t kMaxRemembered = 256;

auto fields_of(const RequestFacts& facts) {
  return std::tie(facts.kind, facts.has_session, facts.repeatable, facts.group, facts.tenant, facts.zone,
                  facts.key);
}

/// Any strict order of requests, for lookups.
struct FactsOrder {
  bool operator()(const RequestFacts& left, const RequestFacts& right) const {
    return fields_of(left) < fields_of(right);
  }
};

class LuaProgram final : public Program {
 public:
  LuaProgram() : state_(kMaxMemoryBytes, kMaxInstructions) {}

  core::Result<void> load(std::string_view source) {
    if (!state_.is_open()) {
      return core::fail(core::ErrorKind::kInternal, "No Lua state could be made.", "Free some memory.");
    }
    BOOST_OUTCOME_TRYV(state_.load(source));
    BOOST_OUTCOME_TRY(has_read, defines_function(state_, "read"));
    BOOST_OUTCOME_TRY(has_retry, defines_function(state_, "retry"));
    if (!has_read && !has_retry) {
      return core::fail(core::ErrorKind::kInvalidArgument, "policy: neither read nor retry is defined",
                        "Define function read(request) or function retry(request).");
    }
    return core::outcome::success();
  }

  ReadRule read(const RequestFacts& request) override {
    return remembered(read_rules_, request, [&] { return try_read(request); });
  }

  RetryRule retry(const RequestFacts& request) override {
    return remembered(retry_rules_, request, [&] { return try_retry(request); });
  }

  core::Result<ReadRule> try_read(const RequestFacts& request) override {
    return evaluate_read(state_, request);
  }
  core::Result<RetryRule> try_retry(const RequestFacts& request) override {
    return evaluate_retry(state_, request);
  }

  [[nodiscard]] std::uint64_t failures() const override { return failures_; }
  [[nodiscard]] const std::string& last_failure() const override { return last_failure_; }

 private:
  /// The rule for an equal request, or what `evaluate` gives: the safe choice when it fails. Keys differ from
  /// request to request, so rules of requests with a key are not kept.
  template <typename Rule, typename Evaluate>
  Rule remembered(std::map<RequestFacts, Rule, FactsOrder>& rules, const RequestFacts& request,
                  Evaluate evaluate) {
    const auto known = request.key.empty() ? rules.find(request) : rules.end();
    if (known != rules.end()) {
      return known->second;
    }
    const core::Result<Rule> rule = evaluate();
    if (!rule.has_value()) {
      note_failure(rule.error());
      return Rule{};
    }
    if (request.key.empty()) {
      if (rules.size() >= kMaxRemembered) {
        rules.clear();
      }
      rules.emplace(request, rule.value());
    }
    return rule.value();
  }

  void note_failure(const core::Error& error) {
    ++failures_;
    last_failure_ = error.message;
  }

  LuaState state_;
  std::map<RequestFacts, ReadRule, FactsOrder> read_rules_;
  std::map<RequestFacts, RetryRule, FactsOrder> retry_rules_;
  std::uint64_t failures_ = 0;
  std::string last_failure_;
};

/// Requests that a new policy is tried with. Names are the policy's business: a branch that depends on a name
/// which is not among these is first run by real requests, where a failure falls back to the safe choice.
std::vector<RequestFacts> sample_requests() {
  std::vector<RequestFacts> samples;
  for (const auto kind : {core::StatementKind::kRead, core::StatementKind::kWrite}) {
    for (const bool has_session : {false, true}) {
      for (const bool repeatable : {false, true}) {
        for (const char* key : {"", "1700000000000-sample"}) {
          samples.push_back(RequestFacts{core::GroupName("sample"), core::TenantName("default"),
                                         core::ZoneName("sample-zone"), kind, has_session,
                                         core::RequestKey(key), repeatable});
        }
      }
    }
  }
  return samples;
}

std::string describe_sample(const RequestFacts& request) {
  return std::string(request.kind == core::StatementKind::kRead ? "a read" : "a write") +
         (request.has_session ? " with" : " without") + " a session," +
         (request.key.empty() ? " without" : " with") + " a key" + (request.repeatable ? ", repeatable" : "");
}

core::Error with_sample(core::Error error, const RequestFacts& request) {
  error.message += " (tried with " + describe_sample(request) + ")";
  return error;
}

}  // namespace

std::string_view default_source() {
  return R"lua(-- Built-in policy: reads at the nearest replica that is fresh enough for the session.
function read(request)
  return {target = "replica", wait_ms = 30, fallback = "primary"}
end

-- Sends again what can't run twice by that.
function retry(request)
  return {attempts = 3, repeatable_writes = true}
end
)lua";
}

core::Result<std::unique_ptr<Program>> Program::compile(std::string_view source) {
  if (source.size() > kMaxSourceBytes) {
    return core::fail(core::ErrorKind::kTooLarge, "The policy's source is too long.",
                      "Keep it under " + std::to_string(kMaxSourceBytes) + " bytes.");
  }
  auto program = std::make_unique<LuaProgram>();
  BOOST_OUTCOME_TRYV(program->load(source));
  return std::unique_ptr<Program>(std::move(program));
}

core::Result<void> check(std::string_view source) {
  BOOST_OUTCOME_TRY(program, Program::compile(source));
  for (const RequestFacts& request : sample_requests()) {
    if (const auto rule = program->try_read(request); !rule.has_value()) {
      return core::outcome::failure(with_sample(rule.error(), request));
    }
    if (const auto rule = program->try_retry(request); !rule.has_value()) {
      return core::outcome::failure(with_sample(rule.error(), request));
    }
  }
  return core::outcome::success();
}

}  // namespace pipitpond::policy
