#include "proxy/transaction_id.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <msgpack.hpp>
#include <vector>

#include "wire/codec.hpp"

namespace pipitpond::proxy {
namespace {

constexpr std::size_t kRandomBytes = 16;
constexpr std::size_t kMacBytes = 16;  // Truncated HMAC-SHA256: 128 bits are plenty against forging online.
constexpr std::size_t kMaxIdLength = 2048;

struct PackedAddress {
  core::DaemonId owner;
  std::uint64_t incarnation = 0;
  core::GroupName group;
  core::DatabaseId database;
  core::Term term = 0;
  std::string random;

  MSGPACK_DEFINE(owner, incarnation, group, database, term, random);
};

std::string to_hex(const std::string& bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(bytes.size() * 2);
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text.push_back(kDigits[value >> 4U]);
    text.push_back(kDigits[value & 15U]);
  }
  return text;
}

int hex_value(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  if (digit >= 'a' && digit <= 'f') {
    return digit - 'a' + 10;
  }
  return -1;
}

/// Empty when the text is not hexadecimal.
std::string from_hex(const std::string& text) {
  std::string bytes;
  if (text.size() % 2 != 0) {
    return bytes;
  }
  bytes.reserve(text.size() / 2);
  for (std::size_t at = 0; at < text.size(); at += 2) {
    const int high = hex_value(text[at]);
    const int low = hex_value(text[at + 1]);
    if (high < 0 || low < 0) {
      return {};
    }
    bytes.push_back(static_cast<char>(high * 16 + low));
  }
  return bytes;
}

std::string authenticate(const std::string& bytes, const std::string& secret) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> mac{};
  unsigned int length = 0;
  // The purpose is part of the message, so that a session token can never pass for a transaction.
  const std::string message = "transaction:" + bytes;
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(message.data()), message.size(), mac.data(), &length);
  return {reinterpret_cast<const char*>(mac.data()), kMacBytes};
}

auto forged() {
  return core::fail(core::ErrorKind::kForgedToken, "The transaction identifier was not issued by this fleet.",
                    "Use the identifier that POST /v1/transactions answered, unchanged.");
}

}  // namespace

std::string random_hex() {
  std::string bytes(kRandomBytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
  return to_hex(bytes);
}

core::TransactionId make_transaction_id(const TransactionAddress& address, const std::string& secret) {
  const PackedAddress packed{address.owner,    address.incarnation, address.group,
                             address.database, address.term,        address.random};
  const std::string bytes = wire::pack(packed);
  return core::TransactionId(to_hex(authenticate(bytes, secret) + bytes));
}

core::Result<TransactionAddress> read_transaction_id(const core::TransactionId& id,
                                                     const std::string& secret) {
  if (id.value().size() > kMaxIdLength) {
    return forged();
  }
  const std::string bytes = from_hex(id.value());
  if (bytes.size() <= kMacBytes) {
    return forged();
  }
  const std::string body = bytes.substr(kMacBytes);
  const std::string expected = authenticate(body, secret);
  if (CRYPTO_memcmp(expected.data(), bytes.data(), kMacBytes) != 0) {
    return forged();
  }
  auto packed = wire::unpack<PackedAddress>(body);
  if (!packed) {
    return forged();
  }
  PackedAddress& read = packed.value();
  return TransactionAddress{read.owner, read.incarnation, read.group, read.database, read.term, read.random};
}

}  // namespace pipitpond::proxy
