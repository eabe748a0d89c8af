#include "wire/frame.hpp"

#include <arpa/inet.h>

#include <cstring>

#include "wire/codec.hpp"

namespace pipitpond::wire {
namespace {

using Length = std::uint32_t;
constexpr std::size_t kLengthBytes = sizeof(Length);
// A buffer that once held a large frame is not kept for the life of the connection.
constexpr std::size_t kMaxIdleBufferBytes = 256UL * 1024;

}  // namespace

std::string encode(const Frame& frame) {
  msgpack::sbuffer buffer(frame.body.size() + 64);
  const Length placeholder = 0;
  buffer.write(reinterpret_cast<const char*>(&placeholder), kLengthBytes);
  msgpack::pack(buffer, frame);
  std::string bytes(buffer.data(), buffer.size());
  const Length length = htonl(static_cast<Length>(bytes.size() - kLengthBytes));
  std::memcpy(bytes.data(), &length, kLengthBytes);
  return bytes;
}

void FrameDecoder::feed(std::string_view bytes) {
  discard_consumed();
  buffer_.append(bytes);
}

core::Result<std::optional<Frame>> FrameDecoder::next() {
  const std::string_view rest = std::string_view(buffer_).substr(consumed_);
  if (rest.size() < kLengthBytes) {
    return std::optional<Frame>();
  }
  Length length = 0;
  std::memcpy(&length, rest.data(), kLengthBytes);
  length = ntohl(length);
  if (length > max_frame_bytes_) {
    return core::fail(core::ErrorKind::kTooLarge,
                      "A frame of " + std::to_string(length) + " bytes is over the limit.",
                      "Run the same version of pipitpond on every machine.");
  }
  if (rest.size() - kLengthBytes < length) {
    return std::optional<Frame>();
  }
  auto frame = unpack<Frame>(rest.substr(kLengthBytes, length));
  if (!frame.has_value()) {
    return std::move(frame).as_failure();
  }
  consumed_ += kLengthBytes + length;
  return std::optional<Frame>(std::move(frame.value()));
}

void FrameDecoder::discard_consumed() {
  buffer_.erase(0, consumed_);
  consumed_ = 0;
  if (buffer_.empty() && buffer_.capacity() > kMaxIdleBufferBytes) {
    std::string().swap(buffer_);
  }
}

}  // namespace pipitpond::wire
