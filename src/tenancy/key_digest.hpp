// Digests of callers' keys. No input or output.
#pragma once

#include <string_view>

#include "protocol/tenant.hpp"

namespace pipitpond::tenancy {

/// The first kKeyDigestBytes of the key's SHA-256: too few for a collision to be found (2^64 tries), and from
/// a drawn key of 20 letters nobody works the key out. Throws std::runtime_error when the library has no
/// SHA-256.
protocol::KeyDigest digest_of(std::string_view key);

}  // namespace pipitpond::tenancy
