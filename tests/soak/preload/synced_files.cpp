// Keeps what a loss of power leaves of the files in the folder that SOAK_SYNCED_FOLDER names, in the folder
// beside it whose name ends in ".synced". A file's bytes are durable once the file was synced, a new name
// with the file's first sync, renamed and removed names once the folder was synced. Files are taken to be
// appended to and cut short, never written over in place. tests/platform_support/power_loss.cpp lays them
// back.
#include "soak/preload/synced_files.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace pipitpond::preload {
namespace {

namespace fs = std::filesystem;

/// Prefixes in the kept folder: bytes by inode number, and the inode number by name.
const std::string kBytes = "bytes-";
const std::string kName = "name-";
const std::string kLockFile = "lock";

std::string path_of(int descriptor) {
  std::array<char, 4096> target{};
  const std::string link = "/proc/self/fd/" + std::to_string(descriptor);
  const ssize_t length = ::readlink(link.c_str(), target.data(), target.size());
  return length > 0 ? std::string(target.data(), static_cast<std::size_t>(length)) : std::string();
}

/// Replaced as a whole: the process may be killed meanwhile.
void write_file(const fs::path& path, const std::string& text) {
  const fs::path temporary = path.string() + ".new";
  std::ofstream(temporary, std::ios::binary) << text;
  fs::rename(temporary, path);
}

std::string inode_of(const struct stat& status) {
  return std::to_string(status.st_ino);
}

void keep_bytes(const fs::path& kept, const fs::path& file, const struct stat& status) {
  const fs::path copy = kept / (kBytes + inode_of(status));
  std::error_code none;
  const std::uintmax_t known = fs::exists(copy) ? fs::file_size(copy, none) : 0;
  const auto size = static_cast<std::uintmax_t>(status.st_size);
  if (known > size) {
    fs::resize_file(copy, size, none);
    return;
  }
  std::ifstream from(file, std::ios::binary);
  from.seekg(static_cast<std::streamoff>(known));
  std::string added(size - known, '\0');
  from.read(added.data(), static_cast<std::streamsize>(added.size()));
  std::ofstream(copy, std::ios::binary | std::ios::app) << added;
}

void keep_name(const fs::path& kept, const std::string& name, const struct stat& status) {
  write_file(kept / (kName + name), inode_of(status));
}

void keep_all_names(const fs::path& kept, const fs::path& folder) {
  for (const auto& entry : fs::directory_iterator(kept)) {
    const std::string name = entry.path().filename().string();
    const bool is_name = name.starts_with(kName) && !name.ends_with(".new");
    if (is_name && !fs::exists(folder / name.substr(kName.size()))) {
      fs::remove(entry.path());
    }
  }
  for (const auto& entry : fs::directory_iterator(folder)) {
    struct stat status {};
    const bool is_file = entry.is_regular_file() && ::stat(entry.path().c_str(), &status) == 0;
    if (is_file && entry.path().filename() != kLockFile) {
      keep_name(kept, entry.path().filename().string(), status);
    }
  }
}

}  // namespace

void note_synced(int descriptor) {
  const char* folder_name = std::getenv("SOAK_SYNCED_FOLDER");
  struct stat status {};
  if (folder_name == nullptr || ::fstat(descriptor, &status) != 0) {
    return;
  }
  const fs::path folder = folder_name;
  const fs::path path = path_of(descriptor);
  if (path != folder && path.parent_path() != folder) {
    return;
  }
  const fs::path kept = folder.string() + ".synced";
  fs::create_directories(kept);
  if (path == folder) {
    keep_all_names(kept, folder);
    return;
  }
  keep_bytes(kept, path, status);
  if (!fs::exists(kept / (kName + path.filename().string()))) {
    keep_name(kept, path.filename().string(), status);
  }
}

}  // namespace pipitpond::preload
