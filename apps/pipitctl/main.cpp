// Operators' command line; see docs/CLI.md.
#include <iostream>
#include <string>
#include <vector>

#include "operators/command_line.hpp"

int main(int count, char** values) {
  const std::vector<std::string> arguments(values + 1, values + count);
  return static_cast<int>(pipitpond::operators::run_command_line(arguments, {std::cout, std::cerr}));
}
