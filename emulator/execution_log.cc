#include "emulator/execution_log.h"

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"

namespace emulator {

ExecutionLog::ExecutionLog(const std::string& journal_path) {
  if (!journal_path.empty()) {
    this->journal = std::fopen(journal_path.c_str(), "a");
  }
}

ExecutionLog::~ExecutionLog() {
  if (this->journal != nullptr) {
    std::fclose(this->journal);
  }
}

void ExecutionLog::OnStarted(absl::string_view operation,
                             absl::string_view key) {
  const Key id(operation, key);
  // Written first, so that the journal contains executions that crash the
  // process.
  this->AppendToJournal('S', id);
  this->counts.With(id, [&](Counts& counts) { ++counts[id].started; });
}

void ExecutionLog::OnFinished(absl::string_view operation,
                              absl::string_view key,
                              absl::Duration busy) {
  const Key id(operation, key);
  this->AppendToJournal('F', id);
  this->counts.With(id, [&](Counts& counts) {
    ExecutionCount& count = counts[id];
    ++count.finished;
    count.busy += busy;
  });
}

void ExecutionLog::OnCancelled(absl::string_view operation,
                               absl::string_view key,
                               absl::Duration busy) {
  const Key id(operation, key);
  this->AppendToJournal('C', id);
  this->counts.With(id, [&](Counts& counts) {
    ExecutionCount& count = counts[id];
    ++count.cancelled;
    count.busy += busy;
  });
}

std::string ExecutionLog::ToJson() {
  nlohmann::json log = nlohmann::json::object();
  this->counts.ForEach([&](const Counts& counts) {
    for (const auto& [id, count] : counts) {
      log[id.first][id.second] = {
          {"started", count.started},
          {"finished", count.finished},
          {"cancelled", count.cancelled},
          {"busy_ms", absl::ToDoubleMilliseconds(count.busy)}};
    }
  });
  return log.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void ExecutionLog::Clear() {
  this->counts.ForEach([](Counts& counts) { counts.clear(); });
}

void ExecutionLog::AppendToJournal(char event, const Key& key) {
  if (this->journal == nullptr) {
    return;
  }
  const std::string line = absl::StrCat(absl::string_view(&event, 1), " ",
                                        key.first, " ", key.second, "\n");
  std::fwrite(line.data(), 1, line.size(), this->journal);
  std::fflush(this->journal);
}

}  // namespace emulator
