// Packing of internal messages. Unpacking never trusts its input.
#pragma once

#include <cstddef>
#include <exception>
#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "core/error.hpp"

namespace pipitpond::wire {

/// Packs a message that has MSGPACK_DEFINE.
template <typename Message>
std::string pack(const Message& message) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, message);
  return {buffer.data(), buffer.size()};
}

/// Deepest nesting of a message.
inline constexpr std::size_t kMaxNesting = 64;

/// Failure of unpack.
inline auto malformed(const std::string& why) {
  return core::fail(core::ErrorKind::kInvalidArgument, "Message is malformed: " + why + ".",
                    "Run the same version of pipitpond on every machine.");
}

/// Unpacks a message; kInvalidArgument when the bytes are not one.
template <typename Message>
core::Result<Message> unpack(std::string_view bytes) {
  try {
    // Every element takes at least one byte, so counts above the size are lies that would only cost memory.
    const std::size_t most = bytes.size();
    const msgpack::unpack_limit limit(most, most, most, most, most, kMaxNesting);
    std::size_t read = 0;
    const auto handle = msgpack::unpack(bytes.data(), bytes.size(), read, nullptr, nullptr, limit);
    if (read != bytes.size()) {
      return malformed("there are bytes behind it");
    }
    return handle.get().template as<Message>();
  } catch (const std::exception& error) {
    return malformed(error.what());
  }
}

}  // namespace pipitpond::wire
