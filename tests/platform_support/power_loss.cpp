#include "platform_support/power_loss.hpp"

#include <sys/stat.h>

#include <fstream>
#include <iterator>
#include <map>
#include <random>
#include <string>

namespace pipitpond::platform {
namespace {

namespace fs = std::filesystem;

/// As tests/soak/preload/synced_files.cpp names them.
const std::string kBytes = "bytes-";
const std::string kName = "name-";
const std::string kUnfinished = ".new";
/// Holds no bytes, and is never synced.
const std::string kLockFile = "lock";

using Files = std::map<std::string, std::string>;

std::string read_file(const fs::path& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void write_file(const fs::path& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary) << bytes;
}

Files synced_files(const fs::path& kept) {
  Files files;
  for (const auto& entry : fs::directory_iterator(kept)) {
    const std::string name = entry.path().filename().string();
    if (name.starts_with(kName) && !name.ends_with(kUnfinished)) {
      files[name.substr(kName.size())] = read_file(kept / (kBytes + read_file(entry.path())));
    }
  }
  return files;
}

/// Adds to synced bytes what a loss of power has left of those written later.
std::string with_remains(std::string synced, const std::string& written, std::mt19937_64& random) {
  if (!written.starts_with(synced)) {
    return synced;
  }
  const std::size_t unsynced = written.size() - synced.size();
  switch (random() % 4) {
    case 0:
      return synced;
    case 1:
      return written.substr(0, synced.size() + unsynced / 2);
    case 2:
      synced.append(unsynced, '\0');  // The length has reached the disk, the bytes have not.
      return synced;
    default:
      return written;
  }
}

/// The files that are there now are what the next life begins with, under new inode numbers.
void lay_back(const fs::path& data, const fs::path& kept, const Files& files) {
  fs::remove_all(data);
  fs::remove_all(kept);
  fs::create_directories(data);
  fs::create_directories(kept);
  for (const auto& [name, bytes] : files) {
    write_file(data / name, bytes);
    struct stat status {};
    ::stat((data / name).c_str(), &status);
    const std::string inode = std::to_string(status.st_ino);
    write_file(kept / (kBytes + inode), bytes);
    write_file(kept / (kName + name), inode);
  }
}

}  // namespace

fs::path synced_folder(const fs::path& data) {
  return data.string() + ".synced";
}

bool has_unsynced(const fs::path& data) {
  const Files synced = fs::exists(synced_folder(data)) ? synced_files(synced_folder(data)) : Files{};
  for (const auto& entry : fs::directory_iterator(data)) {
    const std::string name = entry.path().filename().string();
    const auto kept = synced.find(name);
    const bool is_synced = kept != synced.end() && kept->second == read_file(entry.path());
    if (name != kLockFile && !is_synced) {
      return true;
    }
  }
  return false;
}

void lose_unsynced(const fs::path& data, const UnsyncedFate& fate) {
  const fs::path kept = synced_folder(data);
  Files files = fs::exists(kept) ? synced_files(kept) : Files{};
  if (fate.seed) {
    std::mt19937_64 random(*fate.seed);
    for (auto& [name, bytes] : files) {
      bytes = with_remains(bytes, read_file(data / name), random);
    }
  }
  lay_back(data, kept, files);
}

}  // namespace pipitpond::platform
