#include "policy/evaluation.hpp"

#include <array>
#include <cstring>

namespace pipitpond::policy {
namespace {

// The functions below run inside Lua's protected call and may be left by a jump: they hold plain values only.

struct ReadEvaluation {
  const RequestFacts* request = nullptr;
  ReadRule rule;
};

struct RetryEvaluation {
  const RequestFacts* request = nullptr;
  RetryRule rule;
};

struct Definition {
  const char* name = nullptr;
  int type = LUA_TNIL;
};

void set_text(lua_State* state, const char* field, const std::string& text) {
  lua_pushlstring(state, text.data(), text.size());
  lua_setfield(state, -2, field);
}

void set_flag(lua_State* state, const char* field, bool flag) {
  lua_pushboolean(state, static_cast<int>(flag));
  lua_setfield(state, -2, field);
}

void push_request(lua_State* state, const RequestFacts& request) {
  constexpr int kFields = 7;
  lua_createtable(state, 0, kFields);
  set_text(state, "group", request.group.value());
  set_text(state, "tenant", request.tenant.value());
  set_text(state, "zone", request.zone.value());
  lua_pushstring(state, request.kind == core::StatementKind::kRead ? "read" : "write");
  lua_setfield(state, -2, "kind");
  set_flag(state, "has_session", request.has_session);
  set_flag(state, "repeatable", request.repeatable);
  if (!request.key.empty()) {
    set_text(state, "key", request.key.value());
  }
}

/// Fails unless each key of the table on top of the stack is one of `names`.
template <std::size_t size>
void check_fields(lua_State* state, const char* function, const std::array<const char*, size>& names) {
  lua_pushnil(state);
  while (lua_next(state, -2) != 0) {
    lua_pop(state, 1);
    bool known = false;
    for (const char* name : names) {
      known =
          known || (lua_type(state, -1) == LUA_TSTRING && std::strcmp(lua_tostring(state, -1), name) == 0);
    }
    if (!known) {
      luaL_error(state, "policy: %s returned the unknown field '%s'", function,
                 luaL_tolstring(state, -1, nullptr));
    }
  }
}

/// Calls the global function with the request and leaves its table on the stack; false when it is not
/// defined.
bool call_function(lua_State* state, const char* function, const RequestFacts& request) {
  push_global(state, function);
  if (lua_isnil(state, -1)) {
    return false;
  }
  push_request(state, request);
  lua_call(state, 1, 1);
  if (!lua_istable(state, -1)) {
    luaL_error(state, "policy: %s must return a table, not %s", function, luaL_typename(state, -1));
  }
  return true;
}

/// Reads a whole number from a field of the table on top of the stack; false when the field is absent.
bool read_number(lua_State* state, const char* function, const char* field, std::uint32_t least,
                 std::uint32_t most, std::uint32_t& value) {
  const int type = lua_getfield(state, -1, field);
  if (type == LUA_TNIL) {
    lua_pop(state, 1);
    return false;
  }
  int is_whole = 0;
  const lua_Integer number = type == LUA_TNUMBER ? lua_tointegerx(state, -1, &is_whole) : 0;
  if (is_whole == 0 || number < lua_Integer{least} || number > lua_Integer{most}) {
    luaL_error(state, "policy: %s.%s must be a whole number from %d to %d", function, field,
               static_cast<int>(least), static_cast<int>(most));
  }
  value = static_cast<std::uint32_t>(number);
  lua_pop(state, 1);
  return true;
}

/// Reads one of `names` from a field of the table on top of the stack; returns its place, or -1 when absent.
template <std::size_t size>
int read_choice(lua_State* state, const char* function, const char* field, const char* allowed,
                const std::array<const char*, size>& names) {
  const int type = lua_getfield(state, -1, field);
  int found = -1;
  for (std::size_t place = 0; place < size && type == LUA_TSTRING; ++place) {
    if (std::strcmp(lua_tostring(state, -1), names.at(place)) == 0) {
      found = static_cast<int>(place);
    }
  }
  if (found < 0 && type != LUA_TNIL) {
    luaL_error(state, "policy: %s.%s must be %s", function, field, allowed);
  }
  lua_pop(state, 1);
  return found;
}

constexpr std::array kReadFields = {"target", "max_staleness_ms", "wait_ms", "fallback"};
constexpr std::array kRetryFields = {"attempts", "repeatable_writes"};

int run_read(lua_State* state) {
  auto* evaluation = static_cast<ReadEvaluation*>(lua_touserdata(state, 1));
  evaluation->rule = kDefaultReadRule;
  if (!call_function(state, "read", *evaluation->request)) {
    return 0;
  }
  check_fields(state, "read", kReadFields);
  ReadRule rule = kDefaultReadRule;
  const int target =
      read_choice(state, "read", "target", "\"replica\", \"primary\" or \"nearest\"", kReadTargetNames);
  if (target < 0) {
    luaL_error(state, "policy: read must return a target: \"replica\", \"primary\" or \"nearest\"");
  }
  rule.target = static_cast<ReadTarget>(target);
  std::uint32_t staleness = 0;
  if (read_number(state, "read", "max_staleness_ms", 0, kMaxStalenessMs, staleness)) {
    rule.max_staleness_ms = staleness;
  }
  read_number(state, "read", "wait_ms", 0, kMaxWaitMs, rule.wait_ms);
  const int fallback = read_choice(state, "read", "fallback", "\"primary\" or \"none\"", kFallbackNames);
  if (fallback >= 0) {
    rule.fallback = static_cast<Fallback>(fallback);
  }
  evaluation->rule = rule;
  return 0;
}

int run_retry(lua_State* state) {
  auto* evaluation = static_cast<RetryEvaluation*>(lua_touserdata(state, 1));
  evaluation->rule = kDefaultRetryRule;
  if (!call_function(state, "retry", *evaluation->request)) {
    return 0;
  }
  check_fields(state, "retry", kRetryFields);
  RetryRule rule = kDefaultRetryRule;
  if (!read_number(state, "retry", "attempts", 1, kMaxAttempts, rule.attempts)) {
    luaL_error(state, "policy: retry must return attempts, a whole number from 1 to %d",
               static_cast<int>(kMaxAttempts));
  }
  const int type = lua_getfield(state, -1, "repeatable_writes");
  if (type != LUA_TNIL && type != LUA_TBOOLEAN) {
    luaL_error(state, "policy: retry.repeatable_writes must be true or false");
  }
  rule.repeatable_writes = lua_toboolean(state, -1) != 0;
  evaluation->rule = rule;
  return 0;
}

int run_definition(lua_State* state) {
  auto* definition = static_cast<Definition*>(lua_touserdata(state, 1));
  push_global(state, definition->name);
  definition->type = lua_type(state, -1);
  return 0;
}

}  // namespace

core::Result<bool> defines_function(LuaState& state, const char* name) {
  Definition definition{name};
  BOOST_OUTCOME_TRYV(state.run(run_definition, &definition));
  if (definition.type != LUA_TFUNCTION && definition.type != LUA_TNIL) {
    return core::fail(core::ErrorKind::kInvalidArgument,
                      std::string("policy: ") + name + " is defined but is no function",
                      std::string("Write it as: function ") + name + "(request) ... end.");
  }
  return definition.type == LUA_TFUNCTION;
}

core::Result<ReadRule> evaluate_read(LuaState& state, const RequestFacts& request) {
  ReadEvaluation evaluation{&request, {}};
  BOOST_OUTCOME_TRYV(state.run(run_read, &evaluation));
  return evaluation.rule;
}

core::Result<RetryRule> evaluate_retry(LuaState& state, const RequestFacts& request) {
  RetryEvaluation evaluation{&request, {}};
  BOOST_OUTCOME_TRYV(state.run(run_retry, &evaluation));
  return evaluation.rule;
}

}  // namespace pipitpond::policy
