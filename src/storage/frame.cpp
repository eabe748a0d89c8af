#include "storage/frame.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <optional>

namespace pipitpond::storage {
namespace {

constexpr std::string_view kMagic = "pipF";
constexpr std::size_t kHeaderBytes = 16;  // magic 4 bytes, length 4 bytes, checksum 8 bytes
constexpr int kBitsPerByte = 8;

template <typename Number>
void append_little_endian(std::string& out, Number number) {
  for (std::size_t byte = 0; byte < sizeof(Number); ++byte) {
    out.push_back(static_cast<char>(number >> (kBitsPerByte * byte)));
  }
}

template <typename Number>
Number read_little_endian(std::string_view bytes) {
  Number number = 0;
  for (std::size_t byte = 0; byte < sizeof(Number); ++byte) {
    number |= static_cast<Number>(static_cast<unsigned char>(bytes[byte])) << (kBitsPerByte * byte);
  }
  return number;
}

/// Covers the length too, as the seed, so that a damaged length is detected.
std::uint64_t checksum(std::string_view payload) {
  return XXH3_64bits_withSeed(payload.data(), payload.size(), payload.size());
}

/// The payload of the frame at the start of `bytes`, if it is intact.
std::optional<std::string_view> intact_frame(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes || bytes.substr(0, kMagic.size()) != kMagic) return std::nullopt;
  const auto length = read_little_endian<std::uint32_t>(bytes.substr(4));
  if (bytes.size() - kHeaderBytes < length) return std::nullopt;
  const auto payload = bytes.substr(kHeaderBytes, length);
  if (read_little_endian<std::uint64_t>(bytes.substr(8)) != checksum(payload)) return std::nullopt;
  return payload;
}

bool intact_frame_follows(std::string_view bytes) {
  for (auto at = bytes.find(kMagic, 1); at != std::string_view::npos; at = bytes.find(kMagic, at + 1)) {
    if (intact_frame(bytes.substr(at))) return true;
  }
  return false;
}

}  // namespace

std::string encode_frame(std::string_view payload) {
  std::string frame(kMagic);
  append_little_endian(frame, static_cast<std::uint32_t>(payload.size()));
  append_little_endian(frame, checksum(payload));
  frame += payload;
  return frame;
}

core::Result<ScannedFrames> scan_frames(std::string_view bytes, const std::string& name) {
  ScannedFrames result;
  while (result.intact_bytes < bytes.size()) {
    const auto rest = bytes.substr(result.intact_bytes);
    const auto payload = intact_frame(rest);
    if (!payload) {
      if (intact_frame_follows(rest)) {
        const auto where = std::to_string(result.intact_bytes);
        return core::outcome::failure(corrupt(name, "a damaged record at byte " + where));
      }
      result.torn_tail = true;
      return result;
    }
    result.payloads.emplace_back(*payload);
    result.intact_bytes += kHeaderBytes + payload->size();
  }
  return result;
}

core::Error corrupt(const std::string& name, const std::string& what) {
  return core::Error{
      core::ErrorKind::kCorrupt, "File " + name + " can't be trusted: it has " + what + ".",
      "Move the data folder away and restart: the replica then rejoins the cluster as a learner "
      "and receives its state from the leader."};
}

}  // namespace pipitpond::storage
