// Last answers of connections that are ended without a request that could be handed over.
#pragma once

#include <string>

namespace pipitpond::http {

inline constexpr unsigned kRequestTimeout = 408;

/// The whole answer, head and body. The status says why the connection ends; kRequestTimeout means that no
/// request was read, so that one that is on its way can be sent again elsewhere.
std::string closing_answer(unsigned status);

}  // namespace pipitpond::http
