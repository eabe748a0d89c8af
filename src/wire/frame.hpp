// Frames of the internal protocol: a length of four bytes in network order, then one msgpack array.
// Encoding and decoding only; no input or output.
#pragma once

#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "core/error.hpp"
#include "wire/message_type.hpp"

namespace pipitpond::wire {

/// Role of a frame.
enum class FrameKind : std::uint8_t {
  kCall = 1,     ///< Wants a kReply or kFailure with the same call identifier.
  kReply = 2,    ///< The handler's result.
  kFailure = 3,  ///< The handler's Error, packed.
  kNotify = 4,   ///< One-way message.
  kPing = 5,     ///< Wants a kPong at once: is the peer's process alive?
  kPong = 6,     ///< Answer to kPing.
  kGoodbye = 7,  ///< The server stops: calls that it has not answered on this connection were not handled.
};

/// One unit of the protocol. Fields past the known ones are ignored, so that they can be added later.
struct Frame {
  FrameKind kind = FrameKind::kNotify;
  std::uint64_t call = 0;  ///< Identifier chosen by the caller, unique on its connection.
  MessageType type = MessageType::kRaft;
  std::string body;

  MSGPACK_DEFINE(kind, call, type, body);
};

/// Body of a kFailure frame.
struct Failure {
  core::Error error;

  MSGPACK_DEFINE(error);
};

/// The frame's bytes, length first.
std::string encode(const Frame& frame);

/// Cuts a stream of bytes into frames.
class FrameDecoder {
 public:
  /// Frames of more than `max_frame_bytes` (without the length) are refused.
  explicit FrameDecoder(std::size_t max_frame_bytes) : max_frame_bytes_(max_frame_bytes) {}

  /// Adds received bytes.
  void feed(std::string_view bytes);
  /// The next whole frame, or empty when more bytes are needed. Fails with kTooLarge or kInvalidArgument; the
  /// stream is of no use from then on.
  core::Result<std::optional<Frame>> next();

 private:
  void discard_consumed();

  std::size_t max_frame_bytes_;
  std::string buffer_;
  std::size_t consumed_ = 0;
};

}  // namespace pipitpond::wire

MSGPACK_ADD_ENUM(pipitpond::wire::FrameKind);
MSGPACK_ADD_ENUM(pipitpond::wire::MessageType);
