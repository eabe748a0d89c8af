#include "session/token.hpp"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <array>
#include <msgpack.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

#include "session/base64url.hpp"

namespace pipitpond::session {
namespace {

/// Bytes of the HMAC that a token carries: 128 bits can't be guessed, and the token stays short.
constexpr std::size_t kMacBytes = 16;

using Positions = std::map<core::GroupName, core::LogPosition>;

auto forged(const std::string& what) {
  return core::fail(core::ErrorKind::kForgedToken, "The session token is not valid: " + what + ".",
                    "Send the token of the last answer unchanged, or none to start a new session.");
}

std::optional<Positions> parse(std::string_view body) {
  try {
    std::size_t offset = 0;
    const auto handle = msgpack::unpack(body.data(), body.size(), offset);
    if (offset != body.size()) {
      return std::nullopt;
    }
    return handle.get().as<Positions>();
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

bool is_valid_group(const core::GroupName& group) {
  return !group.empty() && group.value().size() <= kMaxGroupNameBytes;
}

bool is_valid(const Positions& positions) {
  if (positions.size() > kMaxGroups) {
    return false;
  }
  for (const auto& [group, position] : positions) {
    if (!is_valid_group(group)) {
      return false;
    }
  }
  return true;
}

}  // namespace

/// The keyed HMAC, which takes the secret in once, and the last token that was signed.
struct FleetKey::State {
  explicit State(const std::string& secret) {
    EVP_MAC* algorithm = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    context = EVP_MAC_CTX_new(algorithm);
    EVP_MAC_free(algorithm);
    std::string digest = "SHA256";
    const std::array parameters = {
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), digest.size()),
        OSSL_PARAM_construct_end()};
    is_ready =
        context != nullptr && EVP_MAC_init(context, reinterpret_cast<const unsigned char*>(secret.data()),
                                           secret.size(), parameters.data()) == 1;
  }
  State(const State&) = delete;
  State& operator=(const State&) = delete;
  ~State() { EVP_MAC_CTX_free(context); }

  EVP_MAC_CTX* context = nullptr;
  bool is_ready = false;
  std::string last_body;
  std::string last_text;
};

core::Result<FleetKey> FleetKey::create(std::string secret) {
  if (secret.size() < kMinFleetKeyBytes) {
    return core::fail(core::ErrorKind::kInvalidArgument, "The fleet key is too short.",
                      "Give all proxies the same secret of at least " + std::to_string(kMinFleetKeyBytes) +
                          " random bytes.");
  }
  auto state = std::make_shared<State>(secret);
  if (!state->is_ready) {
    return core::fail(core::ErrorKind::kInternal, "OpenSSL has no HMAC-SHA256.",
                      "Install OpenSSL 3 with its default provider.");
  }
  return FleetKey(std::move(state));
}

std::string FleetKey::authenticate(std::string_view body) const {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  std::size_t digest_bytes = 0;
  EVP_MAC_CTX* context = state_->context;
  // Without a key the context starts over with the one that it has.
  const bool is_done =
      EVP_MAC_init(context, nullptr, 0, nullptr) == 1 &&
      EVP_MAC_update(context, reinterpret_cast<const unsigned char*>(body.data()), body.size()) == 1 &&
      EVP_MAC_final(context, digest.data(), &digest_bytes, digest.size()) == 1;
  if (!is_done || digest_bytes < kMacBytes) {
    throw std::runtime_error("OpenSSL could not authenticate a session token");
  }
  return {reinterpret_cast<const char*>(digest.data()), kMacBytes};
}

std::string FleetKey::sign(std::string_view body) const {
  if (state_->last_text.empty() || state_->last_body != body) {
    std::string text = encode_base64url(std::string(body) + authenticate(body));
    state_->last_body = body;
    state_->last_text = std::move(text);
  }
  return state_->last_text;
}

core::Result<SessionToken> SessionToken::decode(std::string_view text, const FleetKey& key) {
  if (text.empty()) {
    return SessionToken();
  }
  if (text.size() > kMaxTokenBytes) {
    return forged("it is too long");
  }
  const std::optional<std::string> bytes = decode_base64url(text);
  if (!bytes || bytes->size() <= kMacBytes) {
    return forged("it is malformed");
  }
  const std::string_view body = std::string_view(*bytes).substr(0, bytes->size() - kMacBytes);
  const std::string_view mac = std::string_view(*bytes).substr(body.size());
  // Authenticated before it is parsed: only bytes that this fleet wrote reach the parser.
  if (CRYPTO_memcmp(key.authenticate(body).data(), mac.data(), kMacBytes) != 0) {
    return forged("it was not written by this fleet");
  }
  std::optional<Positions> positions = parse(body);
  if (!positions || !is_valid(*positions)) {
    return forged("it is malformed");
  }
  SessionToken token;
  token.positions_ = std::move(*positions);
  token.text_ = text;
  return token;
}

std::string SessionToken::encode(const FleetKey& key) const {
  if (positions_.empty()) {
    return "";
  }
  if (!text_.empty()) {
    return text_;
  }
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, positions_);
  return key.sign(std::string_view(buffer.data(), buffer.size()));
}

core::LogPosition SessionToken::position(const core::GroupName& group) const {
  const auto found = positions_.find(group);
  return found == positions_.end() ? core::LogPosition{} : found->second;
}

core::Result<void> SessionToken::ensure_room(const core::GroupName& group) const {
  if (!is_valid_group(group)) {
    return core::fail(core::ErrorKind::kInvalidArgument,
                      "The group's name does not fit into a session token.",
                      "Use names of 1 to " + std::to_string(kMaxGroupNameBytes) + " bytes.");
  }
  if (positions_.size() >= kMaxGroups && !positions_.contains(group)) {
    return core::fail(core::ErrorKind::kTooLarge,
                      "The session has touched " + std::to_string(kMaxGroups) + " groups already.",
                      "Send statements for further groups with another session token, or without one.");
  }
  return core::outcome::success();
}

core::Result<void> SessionToken::advance(const core::GroupName& group, const core::LogPosition& position) {
  BOOST_OUTCOME_TRYV(ensure_room(group));
  if (position == core::LogPosition{}) {
    return core::outcome::success();
  }
  core::LogPosition& seen = positions_[group];
  if (seen < position) {
    seen = position;
    text_.clear();
  }
  return core::outcome::success();
}

void SessionToken::forget(const core::GroupName& group) {
  positions_.erase(group);
  text_.clear();
}

PositionCheck check(const core::LogPosition& position, const protocol::Group& group) {
  return protocol::survived(group, position) ? PositionCheck::kSurvived : PositionCheck::kLost;
}

PositionCheck check_answer(const core::LogPosition& position, const core::LogPosition& answered_at,
                           const protocol::Group& group) {
  const core::Term known = group.terms.empty() ? 0 : group.terms.back().term;
  // A log of the position's own term can't have lost it: the database compared the indexes.
  if (position.term == 0 || answered_at.term == position.term) {
    return check(position, group);
  }
  if (answered_at.term > known) {
    return PositionCheck::kUnknown;
  }
  return check(position, group);
}

core::Error position_lost(const core::GroupName& group, const core::LogPosition& position) {
  return core::Error{core::ErrorKind::kPositionLost,
                     "The session's position " + std::to_string(position.term) + "/" +
                         std::to_string(position.index) + " of group " + group.value() +
                         " did not survive a change of primary.",
                     "Check what the session wrote last, then start a new session without a token.", 0};
}

}  // namespace pipitpond::session
