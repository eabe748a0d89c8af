// Text form of bytes for URLs and headers (RFC 4648, section 5, without padding).
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace pipitpond::session {

/// Writes bytes as base64url.
std::string encode_base64url(std::string_view bytes);

/// Reads base64url; empty when the text is not exactly what encode_base64url writes.
std::optional<std::string> decode_base64url(std::string_view text);

}  // namespace pipitpond::session
