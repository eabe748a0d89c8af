#include "platform/control_requests.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "configuration/plan.hpp"
#include "control/route_json.hpp"
#include "tenancy/key_digest.hpp"

namespace pipitpond::platform {
namespace {

const char* const kConfiguration = R"({"Version":7,"Routes":[{"Name":"r-1","Host":"lepu270","PathPrefix":"/",
  "Kind":"session","TimeoutMs":800,"GoalMs":250,"Priority":2,"Service":"huvo11a","MaxAttempts":2,
  "MaxStalenessMs":2500,"Later":true}],"Services":[{"Name":"huvo11a","HealthPath":"/health","MaxConns":34,
  "Protocol":"h1","Tls":false,"SyncReplicas":1}],"Limits":{"MaxHeaderBytes":16384,"TxIdleMs":3000}})";

http::Request post(const std::string& path, const std::string& body) {
  http::Request request;
  request.method = "POST";
  request.path = path;
  request.body = body;
  return request;
}

core::Result<configuration::PutRouteTable> put(const std::string& body) {
  const auto call = translate_request(post("/Config.Put", body));
  EXPECT_TRUE(call.has_value());
  EXPECT_EQ(call->request.method, "PUT");
  return control::parse_put_routes(call->request.body);
}

TEST(ControlRequestsTest, AConfigurationBecomesARouteTable) {
  const auto table = put(kConfiguration);
  ASSERT_TRUE(table.has_value());
  EXPECT_EQ(table.value().table.version, 7U);
  EXPECT_EQ(table.value().table.transaction_idle_ms, 3000U);
  ASSERT_EQ(table.value().table.routes.size(), 1U);
  const protocol::Route& route = table.value().table.routes[0];
  EXPECT_EQ(route.database, "lepu270");
  EXPECT_EQ(route.kind, protocol::RouteKind::kSession);
  EXPECT_EQ(route.max_staleness_ms, 2500U);
  EXPECT_EQ(table.value().table.groups[0].connection_limit, 34U);
  EXPECT_EQ(table.value().document, kConfiguration) << "read back as it was sent";
}

TEST(ControlRequestsTest, WhatCannotBeReadInFullIsRefused) {
  const std::string whole = kConfiguration;
  for (std::size_t length = 0; length < whole.size(); length += 7) {
    EXPECT_FALSE(put(whole.substr(0, length)).has_value()) << length;
  }
  auto without = nlohmann::json::parse(whole);
  without["Routes"][0].erase("TimeoutMs");
  EXPECT_FALSE(put(without.dump()).has_value());
  EXPECT_FALSE(put("[]").has_value());
  EXPECT_FALSE(put(R"({"Version":1,"Routes":[3],"Services":[]})").has_value());
}

std::string replaced(std::string text, const std::string& part, const std::string& by) {
  return text.replace(text.find(part), part.size(), by);
}

TEST(ControlRequestsTest, ABodyThatReadersReadInTwoWaysIsRefused) {
  const std::string whole = kConfiguration;
  const std::string nul(1, '\0');
  const std::string open_end = whole.substr(0, whole.size() - 1);
  EXPECT_FALSE(put(whole + nul).has_value()) << "a parser may take NUL for the end";
  EXPECT_FALSE(put(whole + nul + " garbage {{{").has_value());
  EXPECT_FALSE(put(whole + " {}").has_value());
  EXPECT_FALSE(put("\xEF\xBB\xBF" + whole).has_value()) << "byte order mark";
  EXPECT_FALSE(put(open_end + R"(,"Routes":[]})").has_value()) << "which of the two?";
  EXPECT_FALSE(put(open_end + R"(,"\u0052outes":[]})").has_value()) << "the same name, escaped";
  EXPECT_FALSE(put(open_end + R"(,"Version":9})").has_value());
  EXPECT_FALSE(put(open_end + R"(,"Later":{"a":[{"b":1,"b":1}]}})").has_value()) << "in a field unknown here";
  EXPECT_FALSE(put(replaced(whole, R"("GoalMs")", R"("TimeoutMs":1,"GoalMs")")).has_value());
  EXPECT_TRUE(put(open_end + R"(,"Later":[{"b":1},{"b":1}]})").has_value()) << "one name in two objects";
}

TEST(ControlRequestsTest, LimitsThatAreNoObjectAreRefused) {
  for (const char* wrong : {R"("x")", "5", "null", "[]", R"([{"TxIdleMs":3000}])", "true"}) {
    auto whole = nlohmann::json::parse(kConfiguration);
    whole["Limits"] = nlohmann::json::parse(wrong);
    EXPECT_FALSE(put(whole.dump()).has_value()) << wrong;
  }
  auto whole = nlohmann::json::parse(kConfiguration);
  whole.erase("Limits");
  EXPECT_TRUE(put(whole.dump()).has_value()) << "none are told";
}

TEST(ControlRequestsTest, TwoRoutesOfOneHostAtTheRootAreRefusedHoweverTheRootIsTold) {
  auto whole = nlohmann::json::parse(kConfiguration);
  whole["Routes"].push_back(whole["Routes"][0]);
  const protocol::Configuration empty;
  const configuration::PlanContext context{empty, 0, {}};
  whole["Routes"][1].erase("PathPrefix");
  const auto without = put(whole.dump());
  ASSERT_TRUE(without.has_value());
  EXPECT_TRUE(configuration::plan(context, without.value()).error.has_value());
  whole["Routes"][1]["PathPrefix"] = "";
  const auto with_an_empty_one = put(whole.dump());
  ASSERT_TRUE(with_an_empty_one.has_value());
  EXPECT_TRUE(configuration::plan(context, with_an_empty_one.value()).error.has_value());
}

TEST(ControlRequestsTest, ADeeplyNestedBodyIsRefusedAndEndsNoProcess) {
  constexpr std::size_t kDeep = 200'000;
  const std::string deep = std::string(kDeep, '[') + std::string(kDeep, ']');
  const std::string whole = kConfiguration;
  EXPECT_FALSE(put(replaced(whole, "7", deep)).has_value()) << "as Version";
  EXPECT_FALSE(put(replaced(whole, R"("r-1")", deep)).has_value()) << "as a route's Name";
  EXPECT_FALSE(put(replaced(whole, "true", deep)).has_value()) << "in a field unknown here";
  EXPECT_FALSE(put(std::string(kDeep, '[')).has_value());
  const auto call = translate_request(post("/Instances.Heartbeat/i-1", R"({"Zone":)" + deep + "}"));
  ASSERT_TRUE(call.has_value());
  EXPECT_FALSE(control::parse_database_notice("i-1/heartbeat", call->request.body).has_value());
}

TEST(ControlRequestsTest, AHeartbeatThatReadersReadInTwoWaysIsRefused) {
  const std::string body = R"({"Service":"s","Address":"10.1.0.9:8080","State":"draining","State":"ready"})";
  const auto call = translate_request(post("/Instances.Heartbeat/i-1", body));
  ASSERT_TRUE(call.has_value());
  EXPECT_FALSE(control::parse_database_notice("i-1/heartbeat", call->request.body).has_value());
}

std::string with_tenants(const nlohmann::json& tenants) {
  auto whole = nlohmann::json::parse(kConfiguration);
  whole["Routes"][0]["Public"] = true;
  whole["Tenants"] = tenants;
  return whole.dump();
}

TEST(ControlRequestsTest, TenantsComeWithDigestsInPlaceOfKeys) {
  const auto table = put(with_tenants(nlohmann::json::parse(
      R"([{"Name":"zeta","ApiKeys":["secret-1","secret-2"],"Priority":1,"RatePerS":208,"Burst":100},
          {"Name":"alpha","ApiKeys":[],"Priority":0}])")));
  ASSERT_TRUE(table.has_value());
  EXPECT_TRUE(table.value().table.routes[0].is_public);
  ASSERT_TRUE(table.value().table.tenants.has_value());
  const protocol::Tenants& tenants = *table.value().table.tenants;
  ASSERT_EQ(tenants.size(), 2U);
  EXPECT_EQ(tenants[0].name, core::TenantName("alpha")) << "in order of names";
  EXPECT_FALSE(tenants[0].quota.has_value());
  EXPECT_EQ(tenants[1].quota, (protocol::TenantQuota{208, 100}));
  EXPECT_EQ(tenants[1].keys[1], tenancy::digest_of("secret-2"));
}

TEST(ControlRequestsTest, TenantsThatCannotBeReadAreRefusedAndNoErrorShowsAKey) {
  for (const char* bad :
       {R"(5)", R"("none")", R"([3])", R"([{"ApiKeys":["secret-1"]}])",
        R"([{"Name":"a","ApiKeys":"secret-1"}])", R"([{"Name":"a","ApiKeys":["secret-1",""]}])",
        R"([{"Name":"a","ApiKeys":["secret-1",5]}])",
        R"([{"Name":"a","ApiKeys":["secret-1"],"RatePerS":-1}])"}) {
    const auto refused = put(with_tenants(nlohmann::json::parse(bad)));
    ASSERT_FALSE(refused.has_value()) << bad;
    EXPECT_EQ(core::describe(refused.error()).find("secret"), std::string::npos) << bad;
  }
}

TEST(ControlRequestsTest, AnswersAreThoseOfThePlatform) {
  const auto call = translate_request(post("/Config.Put", kConfiguration));
  EXPECT_EQ(call->answer({200, "{}"}).status, 200U);
  EXPECT_EQ(call->answer({409, "{}"}).status, 400U);
  EXPECT_EQ(call->answer({504, "{}"}).status, 503U);
  EXPECT_EQ(call->answer({429, "{}"}).status, 503U);
  http::Request get;
  get.path = "/Config.Get";
  const auto read = translate_request(get);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->answer({200, "whole"}).body, "whole");
  EXPECT_EQ(read->answer({404, "{}"}).status, 503U) << "not sure of the newest";
}

TEST(ControlRequestsTest, AHeartbeatBecomesANotice) {
  const auto call = translate_request(post(
      "/Instances.Heartbeat/i-7f3a",
      R"({"Service":"huvo11a","Address":"10.1.0.9:8080","Zone":"z","Slots":2,"State":"draining","Seq":4})"));
  ASSERT_TRUE(call.has_value());
  EXPECT_EQ(call->request.path, "/v1/databases/i-7f3a/heartbeat");
  const auto command = control::parse_database_notice("i-7f3a/heartbeat", call->request.body);
  ASSERT_TRUE(command.has_value());
  const auto& registration = std::get<configuration::RegisterDatabase>(command.value().operation);
  EXPECT_TRUE(registration.database.draining);
  EXPECT_EQ(registration.group, core::GroupName("huvo11a"));
  const auto answer = call->answer({200, R"({"next":"10.0.0.4:8782"})"});
  EXPECT_EQ(nlohmann::json::parse(answer.body), (nlohmann::json{{"BeatAddr", "10.0.0.4:8782"}}));
}

TEST(ControlRequestsTest, NoticesSayWhichLifeOfADatabaseTheyComeFrom) {
  const auto heartbeat = translate_request(
      post("/Instances.Heartbeat/i-1", R"({"Service":"s","Address":"10.1.0.9:8080","Zone":"z","Slots":2,
      "State":"ready","Seq":4,"born":1764835200123})"));
  ASSERT_TRUE(heartbeat.has_value());
  const auto registration = control::parse_database_notice("i-1/heartbeat", heartbeat->request.body);
  ASSERT_TRUE(registration.has_value());
  EXPECT_EQ(std::get<configuration::RegisterDatabase>(registration.value().operation).database.born,
            1764835200123U);
  const auto leave = translate_request(post("/Instances.Leave/i-1", R"({"born":1764835200123})"));
  ASSERT_TRUE(leave.has_value());
  const auto departure = control::parse_database_notice("i-1/leave", leave->request.body);
  ASSERT_TRUE(departure.has_value());
  EXPECT_EQ(std::get<configuration::DepartDatabase>(departure.value().operation).born, 1764835200123U);
  const auto bare = translate_request(post("/Instances.Leave/i-1", ""));
  ASSERT_TRUE(bare.has_value());
  EXPECT_TRUE(control::parse_database_notice("i-1/leave", bare->request.body).has_value());
}

// A state that isn't named passed for ready, and missing fields for none: another writer's heartbeat was
// taken for a database's.
TEST(ControlRequestsTest, HeartbeatsOfOtherWritersAreRefused) {
  const auto whole = nlohmann::json::parse(
      R"({"Service":"s","Address":"10.1.0.9:8080","Zone":"z","Slots":2,"State":"ready","born":5})");
  const auto is_taken = [](const nlohmann::json& heartbeat) {
    const auto call = translate_request(post("/Instances.Heartbeat/i-1", heartbeat.dump()));
    return control::parse_database_notice("i-1/heartbeat", call->request.body).has_value();
  };
  EXPECT_TRUE(is_taken(whole));
  for (const char* state : {R"("unknown")", R"("Ready")", R"("")", "null", "true", "1", R"(["draining"])"}) {
    auto other = whole;
    other["State"] = nlohmann::json::parse(state);
    EXPECT_FALSE(is_taken(other)) << state;
  }
  for (const char* field : {"Service", "Address", "Zone", "Slots", "State"}) {
    auto other = whole;
    other.erase(field);
    EXPECT_FALSE(is_taken(other)) << "without " << field;
    other[field] = nlohmann::json::object();
    EXPECT_FALSE(is_taken(other)) << field << " of another type";
  }
  for (const char* born : {R"("5")", "-5", "5.5", "null", "true"}) {
    auto other = whole;
    other["born"] = nlohmann::json::parse(born);
    EXPECT_FALSE(is_taken(other)) << born;
  }
}

TEST(ControlRequestsTest, BrokenHeartbeatsAreRefused) {
  for (const char* body : {"", "{", "[]", R"({"Service":1})", R"({"Service":"s","Address":"nowhere"})"}) {
    const auto call = translate_request(post("/Instances.Heartbeat/i-1", body));
    ASSERT_TRUE(call.has_value());
    EXPECT_FALSE(control::parse_database_notice("i-1/heartbeat", call->request.body).has_value()) << body;
  }
}

TEST(ControlRequestsTest, OtherRequestsAreLeftToTheProduct) {
  EXPECT_FALSE(translate_request(post("/v1/drain", "{}")).has_value());
  http::Request get;
  get.path = "/metrics";
  EXPECT_FALSE(translate_request(get).has_value());
}

}  // namespace
}  // namespace pipitpond::platform
