// Runs a policy's functions: builds the request table and reads the returned table, strictly.
#pragma once

#include "core/error.hpp"
#include "policy/lua_state.hpp"
#include "policy/rules.hpp"

namespace pipitpond::policy {

/// True when the program defines a function of that name. Fails when the name is something else.
core::Result<bool> defines_function(LuaState& state, const char* name);

/// Runs `read`; kDefaultReadRule when the program does not define it.
core::Result<ReadRule> evaluate_read(LuaState& state, const RequestFacts& request);

/// Runs `retry`; kDefaultRetryRule when the program does not define it.
core::Result<RetryRule> evaluate_retry(LuaState& state, const RequestFacts& request);

}  // namespace pipitpond::policy
