#include "simulation/simulated_disk.hpp"

#include <algorithm>
#include <utility>

namespace pipitpond::simulation {

using core::ErrorKind;

namespace {

constexpr std::uint32_t kHalf = 500;  // per mille

auto missing(const std::string& name) {
  return core::fail(ErrorKind::kNotFound, "There is no file " + name + ".",
                    "None is needed in a simulation.");
}

}  // namespace

core::Result<void> SimulatedDisk::count_call() {
  if (!calls_left_) return core::outcome::success();
  if (*calls_left_ == 0) {
    return core::fail(ErrorKind::kUnavailable, "The simulated disk has failed.", "Restart the process.");
  }
  --*calls_left_;
  return core::outcome::success();
}

core::Result<std::vector<std::string>> SimulatedDisk::list() {
  std::vector<std::string> names;
  for (const auto& [name, file] : directory_) names.push_back(name);
  return names;
}

core::Result<std::string> SimulatedDisk::read(const std::string& name) {
  const auto found = directory_.find(name);
  if (found == directory_.end()) return missing(name);
  return found->second->content;
}

core::Result<void> SimulatedDisk::append(const std::string& name, std::string_view bytes) {
  BOOST_OUTCOME_TRYV(count_call());
  if (directory_.count(name) == 0) {
    change_name(name, std::make_shared<File>());
    pending_.push_back({NameChange{name, directory_[name]}});
  }
  auto& file = *directory_[name];
  file.content += bytes;
  if (!file.dropped.empty()) file.dropped.resize(file.content.size(), false);
  return core::outcome::success();
}

core::Result<void> SimulatedDisk::rewrite(const std::string& name, std::uint64_t offset,
                                          std::string_view bytes) {
  BOOST_OUTCOME_TRYV(count_call());
  const auto found = directory_.find(name);
  if (found == directory_.end()) return missing(name);
  auto& file = *found->second;
  file.content.replace(offset, bytes.size(), bytes);
  if (!file.dropped.empty()) {
    std::fill_n(file.dropped.begin() + static_cast<std::ptrdiff_t>(offset), bytes.size(), false);
  }
  return core::outcome::success();
}

core::Result<void> SimulatedDisk::truncate(const std::string& name, std::uint64_t size) {
  BOOST_OUTCOME_TRYV(count_call());
  const auto found = directory_.find(name);
  if (found == directory_.end()) return missing(name);
  auto& file = *found->second;
  file.content.resize(size);
  if (!file.dropped.empty()) file.dropped.resize(size, false);
  return core::outcome::success();
}

core::Result<void> SimulatedDisk::sync(const std::string& name) {
  const auto found = directory_.find(name);
  auto counted = count_call();
  if (counted.has_failure()) {
    if (drops_bytes_of_failed_syncs_ && found != directory_.end()) drop_unsynced_bytes(*found->second);
    return counted;
  }
  if (found == directory_.end()) return missing(name);
  if (!loses_syncs_) write_unsynced_bytes(*found->second);
  return core::outcome::success();
}

void SimulatedDisk::drop_unsynced_bytes(File& file) {
  file.dropped.resize(file.content.size(), false);
  for (std::size_t position = 0; position < file.content.size(); ++position) {
    const bool durable = position < file.durable.size() && file.durable[position] == file.content[position];
    if (!durable) file.dropped[position] = true;
  }
}

void SimulatedDisk::write_unsynced_bytes(File& file) {
  const auto before = std::exchange(file.durable, file.content);
  for (std::size_t position = 0; position < file.dropped.size(); ++position) {
    if (file.dropped[position]) file.durable[position] = position < before.size() ? before[position] : '\0';
  }
}

core::Result<void> SimulatedDisk::rename(const std::string& from, const std::string& to) {
  BOOST_OUTCOME_TRYV(count_call());
  const auto found = directory_.find(from);
  if (found == directory_.end()) return missing(from);
  const auto file = found->second;
  change_name(from, nullptr);
  change_name(to, file);
  pending_.push_back({NameChange{from, nullptr}, NameChange{to, file}});
  return core::outcome::success();
}

core::Result<void> SimulatedDisk::remove(const std::string& name) {
  BOOST_OUTCOME_TRYV(count_call());
  if (directory_.count(name) == 0) return core::outcome::success();
  change_name(name, nullptr);
  pending_.push_back({NameChange{name, nullptr}});
  return core::outcome::success();
}

core::Result<void> SimulatedDisk::sync_directory() {
  BOOST_OUTCOME_TRYV(count_call());
  if (loses_syncs_) return core::outcome::success();
  durable_directory_ = directory_;
  pending_.clear();
  return core::outcome::success();
}

void SimulatedDisk::change_name(const std::string& name, std::shared_ptr<File> file) {
  if (file == nullptr) {
    directory_.erase(name);
  } else {
    directory_[name] = std::move(file);
  }
}

void SimulatedDisk::crash() {
  calls_left_.reset();
  directory_ = durable_directory_;
  // A journal keeps the order of name changes, so that some of the first ones survive.
  const auto survivors = random_.below(pending_.size() + 1);
  for (std::size_t position = 0; position < survivors; ++position) {
    for (const auto& change : pending_[position]) change_name(change.name, change.file);
  }
  pending_.clear();
  for (auto& [name, file] : directory_) lose_unsynced_bytes(*file);
  durable_directory_ = directory_;
}

void SimulatedDisk::lose_unsynced_bytes(File& file) {
  const bool appended_only = file.content.compare(0, file.durable.size(), file.durable) == 0;
  if (!file.dropped.empty()) {
    file.content = file.durable;
  } else if (!appended_only) {
    // A truncation: it happened or it did not.
    if (random_.chance(kHalf)) file.content = file.durable;
  } else {
    const auto whole = file.content.size();
    file.content.resize(file.durable.size() + random_.below(whole - file.durable.size() + 1));
    // The length may reach the disk before the bytes do.
    if (random_.chance(kHalf)) file.content.resize(whole, '\0');
  }
  file.durable = file.content;
  file.dropped.clear();
}

void SimulatedDisk::wipe() {
  directory_.clear();
  durable_directory_.clear();
  pending_.clear();
  calls_left_.reset();
}

void SimulatedDisk::overwrite(const std::string& name, std::string bytes) {
  auto& file = *directory_.at(name);
  file.content = std::move(bytes);
  file.durable = file.content;
  file.dropped.clear();
}

}  // namespace pipitpond::simulation
