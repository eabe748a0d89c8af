#include "session/base64url.hpp"

#include <openssl/evp.h>

#include <algorithm>

namespace pipitpond::session {
namespace {

constexpr std::size_t kGroupBytes = 3;
constexpr std::size_t kGroupCharacters = 4;

bool is_base64url(char character) {
  return (character >= 'A' && character <= 'Z') || (character >= 'a' && character <= 'z') ||
         (character >= '0' && character <= '9') || character == '-' || character == '_';
}

std::string to_standard_alphabet(std::string_view text) {
  std::string standard(text);
  std::replace(standard.begin(), standard.end(), '-', '+');
  std::replace(standard.begin(), standard.end(), '_', '/');
  return standard;
}

}  // namespace

std::string encode_base64url(std::string_view bytes) {
  const std::size_t groups = (bytes.size() + kGroupBytes - 1) / kGroupBytes;
  std::string text(groups * kGroupCharacters + 1, '\0');  // EVP_EncodeBlock ends with a zero byte.
  EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                  reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
  const std::size_t padding = groups * kGroupBytes - bytes.size();
  text.resize(groups * kGroupCharacters - padding);
  std::replace(text.begin(), text.end(), '+', '-');
  std::replace(text.begin(), text.end(), '/', '_');
  return text;
}

std::optional<std::string> decode_base64url(std::string_view text) {
  if (!std::all_of(text.begin(), text.end(), is_base64url) || text.size() % kGroupCharacters == 1) {
    return std::nullopt;
  }
  std::string standard = to_standard_alphabet(text);
  const std::size_t padding = (kGroupCharacters - standard.size() % kGroupCharacters) % kGroupCharacters;
  standard.append(padding, '=');
  std::string bytes(standard.size() / kGroupCharacters * kGroupBytes, '\0');
  const int decoded = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                      reinterpret_cast<const unsigned char*>(standard.data()),
                                      static_cast<int>(standard.size()));
  if (decoded < 0) {
    return std::nullopt;
  }
  bytes.resize(static_cast<std::size_t>(decoded) - padding);
  // The last character may carry spare bits: only one spelling of the bytes is accepted.
  if (encode_base64url(bytes) != text) {
    return std::nullopt;
  }
  return bytes;
}

}  // namespace pipitpond::session
