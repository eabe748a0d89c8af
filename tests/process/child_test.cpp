#include "process/child.hpp"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>

namespace pipitpond::process {
namespace {

ChildOptions shell(const std::string& script) {
  return ChildOptions{"/bin/sh", {"-c", script}, "/dev/null"};
}

TEST(Child, ReportsTheExitCode) {
  auto child = Child::start(shell("exit 7"));
  ASSERT_TRUE(child.has_value());
  EXPECT_EQ(child.value()->wait(std::chrono::seconds(30)), 7);
}

TEST(Child, IsKilledWhenItIgnoresTheRequestToStop) {
  auto child = Child::start(shell("trap '' TERM; while true; do read line; done < /dev/zero"));
  ASSERT_TRUE(child.has_value());
  EXPECT_TRUE(usage_of(child.value()->pid()).has_value());
  EXPECT_NE(child.value()->stop(std::chrono::milliseconds(50)), 0);
  EXPECT_FALSE(usage_of(child.value()->pid()).has_value());
}

TEST(Child, AMissingProgramIsAnErrorWithARemedy) {
  const auto child = Child::start(ChildOptions{"/nonexistent/program", {}, "/dev/null"});
  ASSERT_FALSE(child.has_value());
  EXPECT_FALSE(child.error().remedy.empty());
}

TEST(Child, InheritsNoDescriptors) {
  const int open_here = open("/dev/null", O_RDONLY);
  ASSERT_GT(open_here, STDERR_FILENO);
  auto child = Child::start(shell("test ! -e /proc/self/fd/" + std::to_string(open_here)));
  ASSERT_TRUE(child.has_value());
  EXPECT_EQ(child.value()->wait(std::chrono::seconds(30)), 0);
  close(open_here);
}

TEST(Child, EndsWithAParentThatIsKilled) {
  ASSERT_EQ(prctl(PR_SET_CHILD_SUBREAPER, 1), 0);
  std::array<int, 2> pipe_ends{};
  ASSERT_EQ(pipe(pipe_ends.data()), 0);
  const pid_t parent = fork();
  if (parent == 0) {
    const auto child = Child::start(shell("while true; do read line; done < /dev/zero"));
    const pid_t pid = child ? child.value()->pid() : 0;
    static_cast<void>(!write(pipe_ends[1], &pid, sizeof(pid)));
    pause();
    _exit(0);
  }
  pid_t grandchild = 0;
  ASSERT_EQ(read(pipe_ends[0], &grandchild, sizeof(grandchild)), static_cast<ssize_t>(sizeof(grandchild)));
  ASSERT_GT(grandchild, 0);
  kill(parent, SIGKILL);
  waitpid(parent, nullptr, 0);
  int status = 0;
  ASSERT_EQ(waitpid(grandchild, &status, 0), grandchild);
  EXPECT_TRUE(WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL);
}

}  // namespace
}  // namespace pipitpond::process
