#include "storage/file_disk.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <system_error>
#include <utility>

namespace pipitpond::storage {

using core::ErrorKind;

namespace {

constexpr const char* kLockFile = "lock";
constexpr mode_t kFileMode = 0640;
constexpr std::size_t kReadBufferBytes = 65536;

ErrorKind error_kind_of(int error) {
  switch (error) {
    case ENOENT:
      return ErrorKind::kNotFound;
    case ENOSPC:
    case EDQUOT:
      return ErrorKind::kNoCapacity;
    default:
      return ErrorKind::kUnavailable;
  }
}

auto failure(const std::string& what, const std::string& path) {
  const auto reason = std::error_code(errno, std::generic_category()).message();
  return core::fail(error_kind_of(errno), "Can't " + what + " " + path + ": " + reason + ".",
                    "Check the disk, its free space and the folder's permissions, then restart.");
}

core::Result<void> write_all(int descriptor, std::string_view bytes, const std::string& path) {
  while (!bytes.empty()) {
    const auto count = ::write(descriptor, bytes.data(), bytes.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return failure("write", path);
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return core::outcome::success();
}

core::Result<void> sync_descriptor(int descriptor, const std::string& path) {
  if (::fsync(descriptor) == 0) return core::outcome::success();
  core::Error error = failure("sync", path).error();
  // Always kUnavailable, even for ENOSPC: after a failed sync it is unknown which bytes are durable.
  error.kind = ErrorKind::kUnavailable;
  return error;
}

core::Result<void> sync_path(const std::string& path) {
  const FileHandle handle(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!handle.valid()) return failure("open", path);
  return sync_descriptor(handle.get(), path);
}

/// Creates the folder and its missing parents, and syncs the parent of each new folder.
core::Result<void> create_folder(const std::filesystem::path& folder) {
  if (std::filesystem::exists(folder)) return core::outcome::success();
  const auto parent = folder.parent_path();
  if (!parent.empty()) {
    BOOST_OUTCOME_TRYV(create_folder(parent));
  }
  if (::mkdir(folder.c_str(), 0750) != 0 && errno != EEXIST) return failure("create", folder.string());
  return sync_path(parent.empty() ? "." : parent.string());
}

}  // namespace

FileHandle::FileHandle(FileHandle&& other) noexcept : descriptor_(std::exchange(other.descriptor_, -1)) {}

FileHandle& FileHandle::operator=(FileHandle&& other) noexcept {
  std::swap(descriptor_, other.descriptor_);
  return *this;
}

FileHandle::~FileHandle() {
  if (valid()) ::close(descriptor_);
}

core::Result<std::unique_ptr<FileDisk>> FileDisk::open(const std::string& folder) {
  BOOST_OUTCOME_TRYV(create_folder(std::filesystem::absolute(folder).lexically_normal()));
  auto disk = std::unique_ptr<FileDisk>(new FileDisk(folder));
  disk->directory_ = FileHandle(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!disk->directory_.valid()) return failure("open", folder);
  const auto lock_path = disk->path(kLockFile);
  disk->lock_ = FileHandle(::open(lock_path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
  if (!disk->lock_.valid()) return failure("open", lock_path);
  if (::flock(disk->lock_.get(), LOCK_EX | LOCK_NB) != 0) {
    return core::fail(ErrorKind::kAlreadyExists, "Another process has locked the data folder " + folder + ".",
                      "Stop that process, or give this one a data folder of its own.");
  }
  return disk;
}

core::Result<std::vector<std::string>> FileDisk::list() {
  std::vector<std::string> names;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder_, error)) {
    auto name = entry.path().filename().string();
    if (entry.is_regular_file() && name != kLockFile) names.push_back(std::move(name));
  }
  if (error) {
    errno = error.value();
    return failure("list", folder_);
  }
  std::sort(names.begin(), names.end());
  return names;
}

core::Result<std::string> FileDisk::read(const std::string& name) {
  const FileHandle handle(::open(path(name).c_str(), O_RDONLY | O_CLOEXEC));
  if (!handle.valid()) return failure("open", path(name));
  std::string bytes;
  std::array<char, kReadBufferBytes> buffer{};
  for (;;) {
    const auto count = ::read(handle.get(), buffer.data(), buffer.size());
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) return failure("read", path(name));
    if (count == 0) return bytes;
    bytes.append(buffer.data(), static_cast<std::size_t>(count));
  }
}

core::Result<int> FileDisk::open_for_append(const std::string& name) {
  auto& handle = append_handles_[name];
  if (!handle.valid()) {
    handle = FileHandle(::open(path(name).c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kFileMode));
  }
  if (!handle.valid()) return failure("open", path(name));
  return handle.get();
}

core::Result<void> FileDisk::append(const std::string& name, std::string_view bytes) {
  BOOST_OUTCOME_TRY(descriptor, open_for_append(name));
  return write_all(descriptor, bytes, path(name));
}

core::Result<void> FileDisk::rewrite(const std::string& name, std::uint64_t offset, std::string_view bytes) {
  const FileHandle handle(::open(path(name).c_str(), O_WRONLY | O_CLOEXEC));
  if (!handle.valid()) return failure("open", path(name));
  if (::lseek(handle.get(), static_cast<off_t>(offset), SEEK_SET) < 0) return failure("seek in", path(name));
  return write_all(handle.get(), bytes, path(name));
}

core::Result<void> FileDisk::truncate(const std::string& name, std::uint64_t size) {
  BOOST_OUTCOME_TRY(descriptor, open_for_append(name));
  if (::ftruncate(descriptor, static_cast<off_t>(size)) != 0) return failure("truncate", path(name));
  return core::outcome::success();
}

core::Result<void> FileDisk::sync(const std::string& name) {
  BOOST_OUTCOME_TRY(descriptor, open_for_append(name));
  return sync_descriptor(descriptor, path(name));
}

core::Result<void> FileDisk::rename(const std::string& from, const std::string& to) {
  append_handles_.erase(from);
  append_handles_.erase(to);
  if (::rename(path(from).c_str(), path(to).c_str()) != 0) return failure("rename", path(from));
  return core::outcome::success();
}

core::Result<void> FileDisk::remove(const std::string& name) {
  append_handles_.erase(name);
  if (::unlink(path(name).c_str()) != 0 && errno != ENOENT) return failure("remove", path(name));
  return core::outcome::success();
}

core::Result<void> FileDisk::sync_directory() {
  return sync_descriptor(directory_.get(), folder_);
}

}  // namespace pipitpond::storage
