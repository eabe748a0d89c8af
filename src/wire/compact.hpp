// Long messages, compressed. Links of daemons carry 2 Mbit/s: 30 KB take 0.12 s there, and after a loss of
// power hundreds of daemons ask for a configuration at once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

#include "core/error.hpp"
#include "wire/codec.hpp"

namespace pipitpond::wire {

/// Shorter messages stay as they are: they fit into a few packets.
inline constexpr std::size_t kCompressedFrom = 2048;
/// Longest message that is unpacked; a configuration of the target size has 180 KB.
inline constexpr std::size_t kMaxCompactBytes = 64UL * 1024 * 1024;

/// Bytes that may be compressed.
struct CompactBytes {
  std::uint32_t plain_size = 0;  ///< Size before compression; 0: `bytes` are not compressed.
  std::string bytes;

  MSGPACK_DEFINE(plain_size, bytes);
};

/// Compresses what is long enough, and stays as it is if that fails.
CompactBytes compact(std::string plain);
/// Undoes compact. Fails with kInvalidArgument when the bytes are damaged or would be over kMaxCompactBytes.
core::Result<std::string> expand(CompactBytes compacted);

/// Packs a message like pack, compressed if it is long.
template <typename Message>
std::string pack_compact(const Message& message) {
  return pack(compact(pack(message)));
}

/// Unpacks what pack_compact has packed; kInvalidArgument when the bytes are no such message.
template <typename Message>
core::Result<Message> unpack_compact(std::string_view bytes) {
  auto compacted = unpack<CompactBytes>(bytes);
  if (!compacted) {
    return compacted.error();
  }
  const auto plain = expand(std::move(compacted.value()));
  if (!plain) {
    return plain.error();
  }
  return unpack<Message>(plain.value());
}

}  // namespace pipitpond::wire
