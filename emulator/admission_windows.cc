#include "emulator/admission_windows.h"

#include <nlohmann/json.hpp>

namespace emulator {
namespace {

constexpr int64_t kWindowMs = 100;

}  // namespace

void AdmissionWindows::OnStarted(absl::string_view call_class, absl::Time now) {
  const int64_t window = absl::ToUnixMillis(now) / kWindowMs;
  absl::MutexLock lock(&this->mutex);
  ++this->windows[window][std::string(call_class)];
}

std::string AdmissionWindows::ToJson() const {
  absl::MutexLock lock(&this->mutex);
  nlohmann::json json = nlohmann::json::object();
  for (const auto& [window, classes] : this->windows) {
    json[std::to_string(window)] = classes;
  }
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void AdmissionWindows::Clear() {
  absl::MutexLock lock(&this->mutex);
  this->windows.clear();
}

}  // namespace emulator
