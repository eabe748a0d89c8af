#include "core/error.hpp"

#include <array>
#include <cstddef>

namespace pipitpond::core {
namespace {

// In the order of ErrorKind.
constexpr std::array<std::string_view, 25> kKindNames = {"invalid_argument",
                                                         "not_found",
                                                         "already_exists",
                                                         "conflict",
                                                         "not_leader",
                                                         "not_primary",
                                                         "fenced",
                                                         "stale",
                                                         "position_lost",
                                                         "overloaded",
                                                         "no_capacity",
                                                         "unavailable",
                                                         "leaving",
                                                         "connection_refused",
                                                         "connection_lost",
                                                         "timeout",
                                                         "deadline_exceeded",
                                                         "key_expired",
                                                         "key_settled",
                                                         "forged_token",
                                                         "too_large",
                                                         "corrupt",
                                                         "policy_denied",
                                                         "permission_denied",
                                                         "internal"};
static_assert(kKindNames.size() == static_cast<std::size_t>(ErrorKind::kInternal) + 1);

}  // namespace

std::string_view to_string(ErrorKind kind) {
  return kKindNames.at(static_cast<std::size_t>(kind));
}

ErrorKind error_kind_from(std::string_view text) {
  for (std::size_t index = 0; index < kKindNames.size(); ++index) {
    if (kKindNames.at(index) == text) {
      return static_cast<ErrorKind>(index);
    }
  }
  return ErrorKind::kInternal;
}

std::string describe(const Error& error) {
  if (error.remedy.empty()) {
    return error.message;
  }
  return error.message + " (" + error.remedy + ")";
}

}  // namespace pipitpond::core
