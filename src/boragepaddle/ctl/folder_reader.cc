#include "boragepaddle/ctl/folder_reader.h"

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

#include "absl/strings/str_cat.h"

namespace boragepaddle::ctl {

base::Result<std::string, ReadError> ReadFile(absl::string_view path) {
  std::ifstream stream(std::string(path), std::ios::binary);
  const int error = errno;
  if (!stream) {
    return ReadError{std::string(path), std::generic_category().message(error)};
  }
  std::string text((std::istreambuf_iterator<char>(stream)),
                   std::istreambuf_iterator<char>());
  if (stream.bad()) {
    return ReadError{std::string(path), "I/O error while reading the file"};
  }
  return text;
}

base::Result<config::Folder, ReadError> ReadFolder(absl::string_view path) {
  std::error_code error;
  std::filesystem::directory_iterator entry(std::string(path), error);
  config::Folder folder;
  while (!error && entry != std::filesystem::directory_iterator()) {
    if (entry->path().extension() == ".json" && entry->is_regular_file(error)) {
      auto text = ReadFile(entry->path().string());
      if (!text.has_value()) {
        return std::move(text).error();
      }
      folder[entry->path().filename().string()] = std::move(text).value();
    }
    if (!error) {
      entry.increment(error);
    }
  }
  if (error) {
    return ReadError{std::string(path), error.message()};
  }
  return folder;
}

std::string Describe(const ReadError& error) {
  return absl::StrCat(error.path, ": cannot be read: ", error.reason);
}

}  // namespace boragepaddle::ctl
