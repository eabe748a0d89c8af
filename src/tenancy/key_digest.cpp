#include "tenancy/key_digest.hpp"

#include <openssl/evp.h>

#include <array>
#include <stdexcept>

namespace pipitpond::tenancy {

protocol::KeyDigest digest_of(std::string_view key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int bytes = 0;
  const bool done = EVP_Digest(key.data(), key.size(), digest.data(), &bytes, EVP_sha256(), nullptr) == 1;
  if (!done || bytes < protocol::kKeyDigestBytes) {
    throw std::runtime_error("OpenSSL has no SHA-256: install OpenSSL 3 with its default provider");
  }
  return protocol::KeyDigest{
      std::string(reinterpret_cast<const char*>(digest.data()), protocol::kKeyDigestBytes)};
}

}  // namespace pipitpond::tenancy
