#include "options.hpp"

#include <algorithm>
#include <charconv>
#include <thread>

namespace pipitpond::simulate {

namespace {

constexpr unsigned kMostJobs = 6;

auto wrong(const std::string& what) {
  return core::fail(core::ErrorKind::kInvalidArgument, what, "See --help.");
}

core::Result<std::uint64_t> number_in(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) return wrong("\"" + text + "\" is not a number.");
  return number;
}

core::Result<void> take(Options& options, const std::string& name, const std::string& value) {
  if (name == "--world") {
    options.world = value;
  } else if (name == "--trace-folder") {
    options.trace_folder = value;
  } else if (name == "--without") {
    const auto mechanism = simulation::mechanism_named(value);
    if (!mechanism) return wrong("There is no mechanism " + value + ".");
    options.switches.turn_off(*mechanism);
  } else {
    BOOST_OUTCOME_TRY(number, number_in(value));
    if (name == "--first-seed") {
      options.first_seed = number;
    } else if (name == "--seeds") {
      options.seeds = number;
    } else if (name == "--jobs") {
      options.jobs = static_cast<unsigned>(std::clamp<std::uint64_t>(number, 1, kMostJobs));
    } else {
      return wrong("There is no option " + name + ".");
    }
  }
  return core::outcome::success();
}

}  // namespace

core::Result<Options> parse_options(const std::vector<std::string>& arguments) {
  Options options;
  options.jobs = std::clamp(std::thread::hardware_concurrency() / 2, 1U, kMostJobs);
  for (std::size_t place = 0; place < arguments.size(); ++place) {
    const auto& name = arguments[place];
    if (name == "--keep-going") {
      options.keep_going = true;
    } else if (name == "--counts") {
      options.counts = true;
    } else if (name == "--help") {
      options.help = true;
    } else if (name == "--version") {
      options.version = true;
    } else if (place + 1 == arguments.size()) {
      return wrong("Option " + name + " is unknown or lacks its value.");
    } else {
      BOOST_OUTCOME_TRYV(take(options, name, arguments[++place]));
    }
  }
  return options;
}

}  // namespace pipitpond::simulate
