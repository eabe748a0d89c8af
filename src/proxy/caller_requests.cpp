#include "proxy/caller_requests.hpp"

#include <algorithm>
#include <cctype>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "proxy/json_object.hpp"

namespace pipitpond::proxy {
namespace {

core::Error invalid(std::string message, std::string remedy) {
  return {core::ErrorKind::kInvalidArgument, std::move(message), std::move(remedy), 0};
}

/// True when brackets outside texts are nested no deeper than allowed.
bool nesting_is_allowed(std::string_view body) {
  std::size_t depth = 0;
  bool in_text = false;
  bool escaped = false;
  for (const char character : body) {
    if (in_text) {
      if (escaped) {
        escaped = false;
      } else if (character == '\\') {
        escaped = true;
      } else if (character == '"') {
        in_text = false;
      }
      continue;
    }
    if (character == '"') {
      in_text = true;
    } else if (character == '{' || character == '[') {
      if (++depth > kMaxNesting) {
        return false;
      }
    } else if ((character == '}' || character == ']') && depth > 0) {
      --depth;
    }
  }
  return true;
}

/// Reads the fields of one object, keeping the first error and the names that were read.
class FieldReader {
 public:
  explicit FieldReader(const std::string& body) {
    if (!nesting_is_allowed(body)) {
      error_ = invalid("Body is nested too deeply.", "Nest objects and arrays at most 64 deep.");
      return;
    }
    std::optional<JsonObject> object = JsonObject::parse(body);
    if (!object) {
      error_ =
          invalid("Body is not a JSON object.", "Send one JSON object in UTF-8 as docs/API.md describes.");
      return;
    }
    object_ = std::move(*object);
  }

  /// A text within the length; empty when the field is absent and optional.
  std::string text(const char* name, std::size_t max_length, bool required) {
    const JsonMember* value = find(name, required);
    if (value == nullptr) {
      return {};
    }
    if (value->type != JsonType::kText) {
      reject(name, "must be a text");
      return {};
    }
    const std::string& content = value->text;
    if (content.size() > max_length || (required && content.empty())) {
      reject(name, "must have 1 to " + std::to_string(max_length) + " bytes");
      return {};
    }
    return content;
  }

  bool boolean(const char* name) {
    const JsonMember* value = find(name, false);
    if (value == nullptr) {
      return false;
    }
    if (value->type != JsonType::kBoolean) {
      reject(name, "must be true or false");
      return false;
    }
    return value->boolean;
  }

  std::uint32_t deadline() {
    const JsonMember* value = find("deadline_ms", false);
    if (value == nullptr) {
      return kDefaultDeadlineMs;
    }
    const bool in_range =
        value->type == JsonType::kUnsigned && value->number >= 1 && value->number <= kMaxDeadlineMs;
    if (!in_range) {
      reject("deadline_ms", "must be a whole number from 1 to 60000");
      return kDefaultDeadlineMs;
    }
    return static_cast<std::uint32_t>(value->number);
  }

  core::StatementKind kind() {
    const std::string name = text("kind", kMaxNameLength, true);
    if (name == "read") {
      return core::StatementKind::kRead;
    }
    if (name != "write") {
      reject("kind", "must be \"read\" or \"write\"");
    }
    return core::StatementKind::kWrite;
  }

  /// The database's own statement: JSON text, as the caller wrote it.
  std::string statement() {
    const JsonMember* value = find("statement", true);
    if (value == nullptr) {
      return {};
    }
    if (value->type != JsonType::kObject) {
      reject("statement", "must be an object");
      return {};
    }
    return std::string(value->json);
  }

  /// "<unix milliseconds>-<text>".
  core::RequestKey key(bool required) {
    const std::string value = text("key", kMaxKeyLength, required);
    if (error_ || value.empty()) {
      return {};
    }
    const auto dash = value.find('-');
    const bool has_parts = dash != std::string::npos && dash > 0 && dash + 1 < value.size();
    const bool has_time = has_parts && dash <= 15 &&
                          std::all_of(value.begin(), value.begin() + static_cast<std::ptrdiff_t>(dash),
                                      [](unsigned char character) { return std::isdigit(character) != 0; });
    if (!has_time) {
      reject("key", "must be \"<unix milliseconds>-<text>\"");
    }
    return core::RequestKey(value);
  }

  core::TenantName tenant() {
    const std::string name = text("tenant", kMaxNameLength, false);
    return core::TenantName(name.empty() ? "default" : name);
  }

  /// Call last: a field that was never asked for is unknown.
  std::optional<core::Error> finish() {
    if (error_) {
      return error_;
    }
    for (const JsonMember& member : object_.members()) {
      if (std::find(known_.begin(), known_.end(), member.name) == known_.end()) {
        reject(member.name.substr(0, kMaxNameLength), "is not known");
        break;
      }
    }
    return error_;
  }

 private:
  const JsonMember* find(const char* name, bool required) {
    known_.emplace_back(name);
    if (error_) {
      return nullptr;
    }
    const JsonMember* member = object_.find(name);
    if (member == nullptr && required) {
      reject(name, "is missing");
    }
    return member;
  }

  void reject(const std::string& name, const std::string& fault) {
    if (!error_) {
      error_ =
          invalid("Field \"" + name + "\" " + fault + ".", "Correct the field as docs/API.md describes.");
    }
  }

  JsonObject object_;
  std::vector<std::string_view> known_;
  std::optional<core::Error> error_;
};

template <typename Request>
core::Result<Request> finished(FieldReader& reader, Request request) {
  std::optional<core::Error> error = reader.finish();
  if (error) {
    return core::outcome::failure(std::move(*error));
  }
  return request;
}

}  // namespace

core::Result<StatementRequest> parse_statement_request(const std::string& body) {
  FieldReader reader(body);
  StatementRequest request;
  request.group = core::GroupName(reader.text("group", kMaxNameLength, true));
  request.kind = reader.kind();
  request.statement = reader.statement();
  request.session = reader.text("session", kMaxTokenLength, false);
  request.key = reader.key(false);
  request.first = reader.boolean("first");
  request.repeatable = reader.boolean("repeatable");
  request.tenant = reader.tenant();
  request.deadline_ms = reader.deadline();
  request.transaction = core::TransactionId(reader.text("transaction", kMaxTokenLength, false));
  return finished(reader, std::move(request));
}

core::Result<StatementRequest> parse_described_request(const std::string& body) {
  FieldReader reader(body);
  StatementRequest request;
  request.group = core::GroupName(reader.text("group", kMaxNameLength, true));
  request.kind = reader.kind();
  request.session = reader.text("session", kMaxTokenLength, false);
  request.key = reader.key(false);
  request.repeatable = reader.boolean("repeatable");
  request.tenant = reader.tenant();
  request.deadline_ms = reader.deadline();
  return finished(reader, std::move(request));
}

core::Result<BeginTransactionRequest> parse_begin_request(const std::string& body) {
  FieldReader reader(body);
  BeginTransactionRequest request;
  request.group = core::GroupName(reader.text("group", kMaxNameLength, true));
  request.session = reader.text("session", kMaxTokenLength, false);
  request.tenant = reader.tenant();
  request.deadline_ms = reader.deadline();
  return finished(reader, std::move(request));
}

core::Result<EndTransactionRequest> parse_commit_request(const std::string& body) {
  FieldReader reader(body);
  EndTransactionRequest request;
  request.transaction = core::TransactionId(reader.text("transaction", kMaxTokenLength, true));
  request.key = reader.key(false);
  request.first = reader.boolean("first");
  request.session = reader.text("session", kMaxTokenLength, false);
  request.deadline_ms = reader.deadline();
  return finished(reader, std::move(request));
}

core::Result<EndTransactionRequest> parse_rollback_request(const std::string& body) {
  FieldReader reader(body);
  EndTransactionRequest request;
  request.transaction = core::TransactionId(reader.text("transaction", kMaxTokenLength, true));
  request.deadline_ms = reader.deadline();
  return finished(reader, std::move(request));
}

core::Result<OutcomeRequest> parse_outcome_request(const std::string& body) {
  FieldReader reader(body);
  OutcomeRequest request;
  request.group = core::GroupName(reader.text("group", kMaxNameLength, true));
  request.key = reader.key(true);
  request.settle = reader.boolean("settle");
  request.session = reader.text("session", kMaxTokenLength, false);
  request.deadline_ms = reader.deadline();
  return finished(reader, std::move(request));
}

}  // namespace pipitpond::proxy
