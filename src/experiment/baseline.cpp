#include "experiment/baseline.hpp"

#include <string>

#include "core/clock.hpp"
#include "workload/deployment.hpp"

namespace pipitpond::experiment {
namespace {

constexpr const char* kPolicyName = "measure-baseline";

std::string policy_source() {
  return std::string("function read(request)\n  if request.tenant == \"") + workload::kPrimaryTenant +
         "\" then\n    return {target = \"primary\"}\n  end\n"
         "  return {target = \"replica\", wait_ms = 0, fallback = \"primary\"}\nend\n";
}

std::string fresh_key(const std::string& what) {
  return std::to_string(core::unix_millis_now()) + "-measure-" + what;
}

bool accepted(const std::optional<JsonReply>& reply) {
  return reply && reply->accepted();
}

}  // namespace

boost::asio::awaitable<bool> apply_baseline_policy(OperatorLoop& operators, core::GroupName group) {
  const std::string policy_path = std::string("/v1/policies/") + kPolicyName;
  const auto existing = co_await operators.ask("GET", policy_path, nullptr);
  if (!accepted(existing)) {
    nlohmann::json body;
    body["revision"] = 0;
    body["key"] = fresh_key("policy");
    body["spec"]["source"] = policy_source();
    const auto created = co_await operators.ask("PUT", policy_path, body);
    if (!accepted(created)) {
      co_return false;
    }
  }
  const std::string group_path = "/v1/groups/" + group.value();
  const auto current = co_await operators.ask("GET", group_path, nullptr);
  if (!accepted(current)) {
    co_return false;
  }
  nlohmann::json body;
  body["revision"] = current->body.value("revision", std::uint64_t{0});
  body["key"] = fresh_key("group-" + group.value());
  body["spec"]["databases"] = current->body.at("spec").at("databases");
  body["spec"]["policy"] = kPolicyName;
  const auto revised = co_await operators.ask("PUT", group_path, body);
  co_return accepted(revised);
}

}  // namespace pipitpond::experiment
