#include "operators/command_line.hpp"

#include <boost/asio/co_spawn.hpp>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <filesystem>
#include <fstream>
#include <optional>
#include <ostream>
#include <sstream>
#include <utility>

#include "explain/day_account.hpp"
#include "explain/explanation.hpp"
#include "explain/log_record.hpp"
#include "operators/change_file.hpp"
#include "operators/control_client.hpp"
#include "operators/table.hpp"

namespace pipitpond::operators {
namespace {

constexpr const char* kUsage = R"(Commands:
  apply -f FILE                                   create or revise groups, zones and policies (.toml or .json)
  get groups|zones|policies [NAME]                list, or show one with its revision
  get configuration                               show all of it
  status                                          leader, replicas, primaries, terms, revision of each daemon
  drain|undrain database|daemon|control NAME      begin or end a planned stop
  members add ID ADDRESS:PORT | members remove ID change the control replicas
  policy check FILE                               check a policy without submitting it
  explain --proxy ADDRESS:PORT REQUEST            why a recent request went where it went
  explain --logs FILE [--logs FILE ...] REQUEST   why a request failed or came late, from collected logs
  explain --day FOLDER                            what the worst seconds were lost to, from the logs in a folder
  explain --proxy ADDRESS:PORT --group NAME       where such a request would go now; see --kind, --tenant,
                                                  --session, --key and --repeatable

Exit codes: 0 done, 1 refused or conflict, 2 usage, 3 no definite answer (send it again with the same --key).
)";

constexpr int kIndent = 2;
/// Windows of a day that explain --day shows: those worth an operator's look, on two pages of a terminal.
constexpr std::size_t kWindowsShown = 8;

struct Options {
  std::vector<core::Endpoint> control;
  std::optional<core::Endpoint> proxy;
  std::string file;
  std::vector<std::string> logs;
  std::optional<std::string> day;  ///< Folder with the logs of all processes.
  std::string key;
  nlohmann::json described;  ///< Request that explain is asked about; null: none.
  bool json = false;
  ClientOptions client;
  std::vector<std::string> words;  ///< Command and its operands.
};

/// A command line that can't be run, with what to do about it.
struct UsageError {
  std::string message;
  std::string remedy;
};

void report(std::ostream& errors, const std::string& message, const std::string& remedy) {
  errors << "pipitctl: " << message << "\n  remedy: " << remedy << "\n";
}

/// Body of a call that asks where such a request would go; null when none is described.
nlohmann::json described_request(const cxxopts::ParseResult& parsed) {
  if (parsed.count("group") == 0) {
    return nullptr;
  }
  nlohmann::json request = {{"kind", parsed["kind"].as<std::string>()}};
  for (const char* field : {"group", "tenant", "session", "key"}) {
    if (parsed.count(field) > 0) {
      request[field] = parsed[field].as<std::string>();
    }
  }
  if (parsed.count("repeatable") > 0) {
    request["repeatable"] = true;
  }
  return request;
}

core::Endpoint endpoint_of(const std::string& text, const std::string& flag) {
  const auto endpoint = core::parse_endpoint(text);
  if (!endpoint) {
    throw UsageError{flag + " '" + text + "' is no address and port", "Write it as 127.0.0.1:7000."};
  }
  return *endpoint;
}

cxxopts::Options described_options() {
  cxxopts::Options options("pipitctl", "Operators' command line of pipitpond.");
  options.custom_help("[options] COMMAND");
  auto add = options.add_options();
  add("control", "Control replica, tried in this order; may be given several times (or PIPITPOND_CONTROL)",
      cxxopts::value<std::vector<std::string>>(), "ADDRESS:PORT");
  add("proxy", "Proxy for explain", cxxopts::value<std::string>(), "ADDRESS:PORT");
  add("group", "Group of the request that explain is asked about", cxxopts::value<std::string>());
  add("kind", "Its kind, read or write", cxxopts::value<std::string>()->default_value("read"));
  add("tenant", "Its tenant", cxxopts::value<std::string>());
  add("session", "Its session token", cxxopts::value<std::string>());
  add("repeatable", "It may run more than once");
  add("f,file", "File for apply", cxxopts::value<std::string>());
  add("logs", "Log of a process, or of several; may be given several times",
      cxxopts::value<std::vector<std::string>>(), "FILE");
  add("day", "Folder with the logs of all processes, for explain", cxxopts::value<std::string>(), "FOLDER");
  add("key", "Key of the change; resending with the same key changes nothing twice. Default: a new one",
      cxxopts::value<std::string>());
  add("o,output", "json or table", cxxopts::value<std::string>()->default_value("table"));
  add("timeout", "Seconds until giving up", cxxopts::value<std::uint32_t>()->default_value("15"));
  add("h,help", "Show this help");
  add("version", "Show the version");
  add("words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  return options;
}

std::vector<std::string> control_texts(const cxxopts::ParseResult& parsed) {
  if (parsed.count("control") > 0) {
    return parsed["control"].as<std::vector<std::string>>();
  }
  const char* environment = std::getenv("PIPITPOND_CONTROL");
  std::vector<std::string> texts;
  std::istringstream list(environment == nullptr ? "" : environment);
  for (std::string text; std::getline(list, text, ',');) {
    texts.push_back(text);
  }
  return texts;
}

Options options_of(const cxxopts::ParseResult& parsed) {
  Options options;
  for (const std::string& text : control_texts(parsed)) {
    options.control.push_back(endpoint_of(text, "--control"));
  }
  if (parsed.count("proxy") > 0) {
    options.proxy = endpoint_of(parsed["proxy"].as<std::string>(), "--proxy");
  }
  options.file = parsed.count("file") > 0 ? parsed["file"].as<std::string>() : "";
  if (parsed.count("day") > 0) {
    options.day = parsed["day"].as<std::string>();
  }
  if (parsed.count("logs") > 0) {
    options.logs = parsed["logs"].as<std::vector<std::string>>();
  }
  options.key = parsed.count("key") > 0 ? parsed["key"].as<std::string>() : "";
  options.described = described_request(parsed);
  const auto output = parsed["output"].as<std::string>();
  if (output != "json" && output != "table") {
    throw UsageError{"--output '" + output + "' is not known", "Use json or table."};
  }
  options.json = output == "json";
  options.client.give_up_after = std::chrono::seconds(parsed["timeout"].as<std::uint32_t>());
  if (parsed.count("words") > 0) {
    options.words = parsed["words"].as<std::vector<std::string>>();
  }
  return options;
}

Call change_call(const Change& change) {
  Call call{"PUT", "/v1/" + change.kind + "/" + change.name, "", nlohmann::json::object()};
  call.body["revision"] = change.revision;
  call.body["key"] = change.key;
  call.body["spec"] = change.spec;
  return call;
}

boost::asio::awaitable<void> store_reply(ControlClient& client, Call call, core::Result<Reply>& result) {
  result = co_await client.call(std::move(call));
}

/// One command's run.
class Session {
 public:
  Session(Options options, Output output) : options_(std::move(options)), output_(output) {}

  ExitCode run() {
    const std::string& command = word(0, "Name a command; see --help.");
    if (command == "apply") {
      return apply();
    }
    if (command == "get") {
      return get();
    }
    if (command == "status") {
      return show({"GET", "/v1/status", "", nullptr});
    }
    if (command == "drain" || command == "undrain") {
      return drain(command == "drain");
    }
    if (command == "members") {
      return members();
    }
    if (command == "policy") {
      return check_policy();
    }
    if (command == "explain") {
      return explain();
    }
    throw UsageError{"unknown command '" + command + "'", "See pipitctl --help."};
  }

 private:
  const std::string& word(std::size_t position, const std::string& remedy) const {
    if (position >= options_.words.size()) {
      throw UsageError{"an operand is missing", remedy};
    }
    return options_.words[position];
  }

  void expect_words(std::size_t most) const {
    if (options_.words.size() > most) {
      throw UsageError{"unexpected operand '" + options_.words[most] + "'", "See pipitctl --help."};
    }
  }

  /// The key of this run's change, told before it is sent so that it can be sent again.
  std::string announced_key(const std::string& key_of_file) {
    std::string given = options_.key.empty() ? key_of_file : options_.key;
    if (!given.empty()) {
      return given;
    }
    std::string key = generate_key();
    output_.errors << "pipitctl: key " << key << " (resend with --key " << key << ")\n";
    return key;
  }

  core::Result<Reply> exchange(const std::vector<core::Endpoint>& endpoints, const Call& call) {
    boost::asio::io_context io;
    ControlClient client(io, endpoints, options_.client);
    core::Result<Reply> result = core::Error{};
    boost::asio::co_spawn(io, store_reply(client, call, result), [](std::exception_ptr failure) {
      if (failure) {
        std::rethrow_exception(failure);
      }
    });
    io.run();
    return result;
  }

  core::Result<Reply> ask_control(const Call& call) {
    if (options_.control.empty()) {
      throw UsageError{"no control replica is named",
                       "Give --control ADDRESS:PORT, or set PIPITPOND_CONTROL to a list with commas."};
    }
    return exchange(options_.control, call);
  }

  ExitCode judge(const core::Result<Reply>& reply) {
    if (!reply) {
      report(output_.errors, reply.error().message, reply.error().remedy);
      return ExitCode::kUnreachable;
    }
    if (reply.value().accepted()) {
      return ExitCode::kOk;
    }
    const nlohmann::json& body = reply.value().body;
    const nlohmann::json error = body.is_object() ? body.value("error", nlohmann::json()) : nlohmann::json();
    std::string message = error.is_object() ? error.value("message", "refused") : "refused";
    if (body.is_object() && body.contains("current_revision")) {
      message += " (current revision " + body.at("current_revision").dump() + ")";
    }
    report(output_.errors, message, error.is_object() ? error.value("remedy", "") : "See control's log.");
    return ExitCode::kRefused;
  }

  void print(const nlohmann::json& body) {
    if (options_.json) {
      output_.out << body.dump(kIndent, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
      return;
    }
    output_.out << to_table(body);
  }

  ExitCode print_judged(const core::Result<Reply>& reply) {
    const ExitCode code = judge(reply);
    if (code == ExitCode::kOk) {
      print(reply.value().body);
    } else if (reply && options_.json) {
      print(reply.value().body);
    }
    return code;
  }

  ExitCode show(const Call& call) { return print_judged(ask_control(call)); }

  ExitCode apply() {
    expect_words(1);
    if (options_.file.empty()) {
      throw UsageError{"apply needs a file", "Give -f FILE."};
    }
    auto file = read_change_file(options_.file);
    if (!file) {
      throw UsageError{file.error().message, file.error().remedy};
    }
    assign_keys(file.value(), announced_key(file.value().key));
    nlohmann::json results = nlohmann::json::array();
    ExitCode code = ExitCode::kOk;
    // Groups may name zones and policies that come before them, so the first refusal ends the run.
    for (const Change& change : file.value().changes) {
      const auto reply = ask_control(change_call(change));
      code = judge(reply);
      nlohmann::json line = {{"name", change.kind + "/" + change.name}, {"key", change.key}};
      line["result"] = code == ExitCode::kOk ? "applied" : "refused";
      if (!reply) {
        line["result"] = "unknown";
      } else if (reply.value().body.is_object()) {
        line["revision"] = reply.value().body.value("revision", nlohmann::json());
      }
      results.push_back(std::move(line));
      if (code != ExitCode::kOk) {
        break;
      }
    }
    print(results);
    return code;
  }

  ExitCode get() {
    expect_words(3);
    const std::string& kind = word(1, "Name groups, zones, policies or configuration.");
    if (kind == "configuration") {
      return show({"GET", "/v1/configuration", "", nullptr});
    }
    if (kind != "groups" && kind != "zones" && kind != "policies") {
      throw UsageError{"unknown kind '" + kind + "'", "Use groups, zones, policies or configuration."};
    }
    const std::string name = options_.words.size() > 2 ? "/" + options_.words[2] : "";
    return show({"GET", "/v1/" + kind + name, "", nullptr});
  }

  ExitCode drain(bool leaving) {
    expect_words(3);
    const std::string& kind = word(1, "Name database, daemon or control.");
    if (kind != "database" && kind != "daemon" && kind != "control") {
      throw UsageError{"unknown kind '" + kind + "'", "Use database, daemon or control."};
    }
    Call call{"POST", "/v1/drain", "", nlohmann::json::object()};
    call.body["kind"] = kind;
    call.body["name"] = word(2, "Name the " + kind + ".");
    call.body["leaving"] = leaving;
    call.body["key"] = announced_key("");
    return show(call);
  }

  ExitCode members() {
    expect_words(4);
    const std::string& action = word(1, "Use add or remove.");
    Call call{"POST", "/v1/members", "", nlohmann::json::object()};
    call.body["action"] = action;
    call.body["id"] = word(2, "Name the control replica.");
    if (action == "add") {
      call.body["endpoint"] = endpoint_of(word(3, "Give its ADDRESS:PORT."), "members add");
    } else if (action != "remove") {
      throw UsageError{"unknown action '" + action + "'", "Use add or remove."};
    }
    call.body["key"] = announced_key("");
    return show(call);
  }

  ExitCode check_policy() {
    expect_words(3);
    if (word(1, "Use: policy check FILE.") != "check") {
      throw UsageError{"unknown command 'policy " + options_.words[1] + "'", "Use: policy check FILE."};
    }
    auto source = read_text_file(word(2, "Name the Lua file."));
    if (!source) {
      throw UsageError{source.error().message, source.error().remedy};
    }
    Call call{"POST", "/v1/policies/check", "", nlohmann::json::object()};
    call.body["source"] = source.value();
    return show(call);
  }

  /// Reads collected logs; asks nobody.
  ExitCode explain_from_logs() {
    expect_words(2);
    const std::string& request = word(1, "Name the request by its identifier.");
    std::vector<explain::LogRecord> records;
    for (const std::string& file : options_.logs) {
      std::ifstream lines(file);
      if (!lines) {
        throw UsageError{"can't read " + file, "Name a log file that this user may read."};
      }
      for (std::string line; std::getline(lines, line);) {
        if (auto record = explain::parse_line(line)) {
          records.push_back(std::move(*record));
        }
      }
    }
    const explain::Explanation explanation = explain::explain(records, request);
    output_.out << explain::to_text(explanation);
    return explanation.cause == explain::Cause::kNotLogged ? ExitCode::kRefused : ExitCode::kOk;
  }

  /// Reads one line after the other, so that the logs of a whole fleet need little memory.
  ExitCode explain_day() {
    expect_words(1);
    std::error_code failed;
    const std::filesystem::directory_iterator files(*options_.day, failed);
    if (failed) {
      throw UsageError{"can't read the folder " + *options_.day, "Name a folder that this user may read."};
    }
    explain::DayAccount account;
    for (const auto& entry : files) {
      std::ifstream lines(entry.path());
      for (std::string line; std::getline(lines, line);) {
        if (const auto record = explain::parse_line(line)) {
          account.add(*record);
        }
      }
    }
    output_.out << explain::to_text(account, kWindowsShown);
    return ExitCode::kOk;
  }

  ExitCode explain() {
    if (options_.day) {
      return explain_day();
    }
    if (!options_.logs.empty()) {
      return explain_from_logs();
    }
    if (!options_.proxy) {
      throw UsageError{"explain needs logs or a proxy",
                       "Give --logs FILE, or --proxy ADDRESS:PORT of the one that answered."};
    }
    if (options_.described.is_object()) {
      expect_words(1);
      return print_judged(exchange({*options_.proxy}, {"POST", "/v1/explain", "", options_.described}));
    }
    expect_words(2);
    const std::string& request =
        word(1, "Name the request by the identifier in its answer, or describe one by --group.");
    Call call{"GET", "/v1/explain", "request=" + request, nullptr};
    return print_judged(exchange({*options_.proxy}, call));
  }

  Options options_;
  Output output_;
};

ExitCode parse_and_run(const std::vector<std::string>& arguments, const Output& output) {
  cxxopts::Options described = described_options();
  std::vector<const char*> values = {"pipitctl"};
  for (const std::string& argument : arguments) {
    values.push_back(argument.c_str());
  }
  const auto parsed = described.parse(static_cast<int>(values.size()), values.data());
  if (parsed.count("help") > 0) {
    output.out << described.help() << "\n" << kUsage;
    return ExitCode::kOk;
  }
  if (parsed.count("version") > 0) {
    output.out << "pipitctl " << PIPITPOND_VERSION << "\n";
    return ExitCode::kOk;
  }
  return Session(options_of(parsed), output).run();
}

}  // namespace

ExitCode run_command_line(const std::vector<std::string>& arguments, Output output) {
  try {
    return parse_and_run(arguments, output);
  } catch (const UsageError& error) {
    report(output.errors, error.message, error.remedy);
  } catch (const cxxopts::exceptions::exception& error) {
    report(output.errors, error.what(), "See pipitctl --help.");
  }
  return ExitCode::kUsage;
}

}  // namespace pipitpond::operators
