#include "runtime/program.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/asio/post.hpp>
#include <csignal>

namespace pipitpond::runtime {
namespace {

using ::testing::ExitedWithCode;

/// Stops at once, or never.
class ExampleDaemon : public Daemon {
 public:
  explicit ExampleDaemon(bool stops) : stops_(stops) {}
  void stop(std::function<void()> stopped) override {
    if (stops_) {
      stopped();
    }
  }

 private:
  bool stops_;
};

/// When a daemon gets a hang-up.
enum class HangUp : std::uint8_t { kNever, kWhileSettingsAreRead, kOnceItRuns };

/// Runs a daemon that gets `signals` signals once it runs, and ends the process with the exit code. A death
/// test looks at standard error, and daemons log on standard output: the one is made the other.
void run_example(std::vector<std::string> arguments, int signals, bool stops,
                 HangUp hang_up = HangUp::kNever) {
  ::dup2(STDERR_FILENO, STDOUT_FILENO);
  std::vector<char*> pointers;
  pointers.reserve(arguments.size());
  for (std::string& argument : arguments) {
    pointers.push_back(argument.data());
  }
  settings::Section section;
  std::string name;
  section.text("name", name, "Name").required();
  section.check([hang_up]() -> std::optional<settings::Problem> {
    if (hang_up == HangUp::kWhileSettingsAreRead) {
      std::raise(SIGHUP);
    }
    return std::nullopt;
  });
  const auto start = [&](boost::asio::io_context& io) -> core::Result<std::unique_ptr<Daemon>> {
    if (name == "broken") {
      return core::fail(core::ErrorKind::kUnavailable, "The port is taken.", "Choose another.");
    }
    if (hang_up == HangUp::kOnceItRuns) {
      boost::asio::post(io, [] { std::raise(SIGHUP); });
    }
    for (int turn = 0; turn < signals; ++turn) {
      boost::asio::post(io, [] { std::raise(SIGTERM); });
    }
    return std::unique_ptr<Daemon>(std::make_unique<ExampleDaemon>(stops));
  };
  std::exit(run_daemon(static_cast<int>(pointers.size()), pointers.data(), {"example", ""}, section, start));
}

TEST(ProgramDeathTest, ASignalStopsGracefully) {
  EXPECT_EXIT(run_example({"example", "--name", "a"}, 1, true), ExitedWithCode(kExitDone), "has stopped");
}

TEST(ProgramDeathTest, ASecondSignalEndsADaemonThatDoesNotStop) {
  EXPECT_EXIT(run_example({"example", "--name", "a"}, 2, false), ExitedWithCode(kExitFailed),
              "second signal");
}

TEST(ProgramDeathTest, AHangUpReadsTheSettingsAgainAndEndsNothing) {
  EXPECT_EXIT(run_example({"example", "--name", "a"}, 1, true, HangUp::kOnceItRuns),
              ExitedWithCode(kExitDone), "settings were read again");
}

TEST(ProgramDeathTest, AHangUpWhileTheSettingsAreReadEndsNothing) {
  // Soak, seed 4012: a proxy that was hung up right after its start ended.
  EXPECT_EXIT(run_example({"example", "--name", "a"}, 1, true, HangUp::kWhileSettingsAreRead),
              ExitedWithCode(kExitDone), "has stopped");
}

TEST(ProgramDeathTest, BadSettingsArePrintedAndNothingStarts) {
  EXPECT_EXIT(run_example({"example", "--nam", "a"}, 0, true), ExitedWithCode(kExitBadSettings), "nam");
  EXPECT_EXIT(run_example({"example"}, 0, true), ExitedWithCode(kExitBadSettings), "name: is missing");
}

TEST(ProgramDeathTest, ADaemonThatCannotStartSaysWhy) {
  EXPECT_EXIT(run_example({"example", "--name", "broken"}, 0, true), ExitedWithCode(kExitFailed),
              "The port is taken. .Choose another");
}

}  // namespace
}  // namespace pipitpond::runtime
