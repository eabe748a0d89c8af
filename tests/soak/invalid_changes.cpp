#include "soak/invalid_changes.hpp"

#include <nlohmann/json.hpp>

namespace pipitpond::soak {
namespace {

using nlohmann::json;

/// Deeper than any reader's stack bears when it recurses.
constexpr std::size_t kDeep = 100'000;

std::string deep_arrays() {
  return std::string(kDeep, '[') + std::string(kDeep, ']');
}

/// The body with one more field behind its own.
std::string with_field(const std::string& valid, const std::string& field) {
  return valid.substr(0, valid.size() - 1) + "," + field + "}";
}

/// The body with one value replaced, as text, so that what no JSON library would write can be sent.
template <typename Change>
std::string changed(const std::string& valid, Change change) {
  json whole = json::parse(valid);
  change(whole);
  return whole.dump();
}

void add_unreadable(std::vector<InvalidChange>& changes, const std::string& valid) {
  changes.push_back({"cut short", valid.substr(0, valid.size() - 40)});
  changes.push_back({"empty", ""});
  changes.push_back({"an array", "[" + valid + "]"});
  changes.push_back({"text behind it", valid + " {}"});
  changes.push_back({"a NUL byte behind it", valid + std::string(1, '\0') + " garbage {{{"});
  changes.push_back({"a byte order mark before it", "\xEF\xBB\xBF" + valid});
  changes.push_back({"no UTF-8", with_field(valid, "\"Later\":\"\xC3\"")});
  changes.push_back({"Routes twice", with_field(valid, R"("Routes":[])")});
  changes.push_back({"Version twice", with_field(valid, R"("Version":900000000)")});
  changes.push_back({"deeply nested", with_field(valid, "\"Later\":" + deep_arrays())});
  changes.push_back({"a deeply nested Version", "{\"Version\":" + deep_arrays() + "}"});
}

void add_mistyped(std::vector<InvalidChange>& changes, const std::string& valid) {
  const std::vector<json> wrong_limits = {"x", 5, json::array({1}), nullptr};
  for (const json& wrong : wrong_limits) {
    changes.push_back(
        {"Limits " + wrong.dump(), changed(valid, [&](json& whole) { whole["Limits"] = wrong; })});
  }
  for (const char* list : {"Routes", "Services"}) {
    changes.push_back(
        {std::string(list) + " missing", changed(valid, [&](json& whole) { whole.erase(list); })});
    changes.push_back(
        {std::string(list) + " a text", changed(valid, [&](json& whole) { whole[list] = "x"; })});
  }
  const std::vector<json> wrong_numbers = {0, -1, 1.5, "800", nullptr, json::array()};
  for (const json& wrong : wrong_numbers) {
    changes.push_back({"TimeoutMs " + wrong.dump(),
                       changed(valid, [&](json& whole) { whole["Routes"][0]["TimeoutMs"] = wrong; })});
  }
  changes.push_back(
      {"TimeoutMs missing", changed(valid, [](json& whole) { whole["Routes"][0].erase("TimeoutMs"); })});
  changes.push_back({"Version a text", changed(valid, [](json& whole) { whole["Version"] = "7"; })});
}

void add_contradictory(std::vector<InvalidChange>& changes, const std::string& valid) {
  changes.push_back(
      {"an unknown service", changed(valid, [](json& whole) { whole["Routes"][0]["Service"] = "nowhere"; })});
  changes.push_back({"two routes at one place",
                     changed(valid, [](json& whole) { whole["Routes"].push_back(whole["Routes"][0]); })});
  changes.push_back({"two routes at one place, one without a prefix", changed(valid, [](json& whole) {
                       whole["Routes"].push_back(whole["Routes"][0]);
                       whole["Routes"].back().erase("PathPrefix");
                     })});
  changes.push_back({"a service twice",
                     changed(valid, [](json& whole) { whole["Services"].push_back(whole["Services"][0]); })});
}

}  // namespace

std::vector<InvalidChange> invalid_changes(const std::string& valid) {
  std::vector<InvalidChange> changes;
  add_unreadable(changes, valid);
  add_mistyped(changes, valid);
  add_contradictory(changes, valid);
  return changes;
}

}  // namespace pipitpond::soak
