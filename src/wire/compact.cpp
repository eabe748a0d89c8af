#include "wire/compact.hpp"

#include <zlib.h>

#include <utility>

namespace pipitpond::wire {
namespace {

// zlib takes bytes as unsigned characters.
const Bytef* input(const std::string& bytes) {
  return reinterpret_cast<const Bytef*>(bytes.data());
}

Bytef* output(std::string& bytes) {
  return reinterpret_cast<Bytef*>(bytes.data());
}

}  // namespace

CompactBytes compact(std::string plain) {
  if (plain.size() < kCompressedFrom || plain.size() > kMaxCompactBytes) {
    return CompactBytes{0, std::move(plain)};
  }
  uLongf size = compressBound(plain.size());
  std::string compressed(size, '\0');
  // The quickest level: control has a small part of a core, and names and addresses repeat so much that more
  // effort gains little.
  const int result = compress2(output(compressed), &size, input(plain), plain.size(), Z_BEST_SPEED);
  if (result != Z_OK || size >= plain.size()) {
    return CompactBytes{0, std::move(plain)};
  }
  compressed.resize(size);
  return CompactBytes{static_cast<std::uint32_t>(plain.size()), std::move(compressed)};
}

core::Result<std::string> expand(CompactBytes compacted) {
  if (compacted.plain_size == 0) {
    return std::move(compacted.bytes);
  }
  if (compacted.plain_size > kMaxCompactBytes) {
    return malformed("it is too long");
  }
  std::string plain(compacted.plain_size, '\0');
  uLongf size = plain.size();
  const int result = uncompress(output(plain), &size, input(compacted.bytes), compacted.bytes.size());
  if (result != Z_OK || size != plain.size()) {
    return malformed("its compressed bytes are damaged");
  }
  return plain;
}

}  // namespace pipitpond::wire
