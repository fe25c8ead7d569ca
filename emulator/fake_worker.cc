#include "emulator/fake_worker.h"

#include <unistd.h>

#include <algorithm>
#include <future>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "emulator/http_listener.h"

namespace emulator {
namespace {

constexpr int kCrashExitCode = 70;
constexpr absl::Duration kDefaultDeadline = absl::Seconds(30);
// A child call that was refused or answered late is reported by the node; the
// client time-out only covers a node that is gone.
constexpr absl::Duration kChildResponseMargin = absl::Seconds(2);

std::string RequestKey(const std::string& body) {
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("key") || !json["key"].is_string()) {
    return body;
  }
  return json["key"].get<std::string>();
}

absl::Duration DeadlineOf(const httplib::Request& request) {
  int64_t milliseconds = 0;
  const std::string text = request.get_header_value("Boragepaddle-Deadline-Ms");
  if (!absl::SimpleAtoi(text, &milliseconds)) {
    return kDefaultDeadline;
  }
  return absl::Milliseconds(milliseconds);
}

std::string ResponseBody(absl::string_view service,
                         absl::string_view operation,
                         absl::string_view key,
                         size_t padding) {
  const nlohmann::json answer = {{"key", std::string(key)},
                                 {"service", std::string(service)},
                                 {"operation", std::string(operation)},
                                 {"size", padding},
                                 {"padding", std::string(padding, 'x')}};
  return answer.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void SetErrorResponse(absl::string_view error,
                      int status,
                      httplib::Response* response) {
  SetJsonResponse(absl::StrCat("{\"error\":\"", error, "\"}"), status,
                  response);
}

}  // namespace

FakeWorker::FakeWorker(std::string service,
                       WorkerBehaviour behaviour,
                       const std::string& journal_path)
    : service(std::move(service)),
      start_time(absl::Now()),
      behaviour(std::make_shared<const WorkerBehaviour>(behaviour)),
      limiter(behaviour.slots),
      log(journal_path) {}

void FakeWorker::AddHandlers(httplib::Server* server) {
  using httplib::Request;
  using httplib::Response;
  server->Post("/control", [this](const Request& request, Response& response) {
    this->OnControl(request, &response);
  });
  server->Post(R"(/cancel/([^/]+))",
               [this](const Request& request, Response& response) {
                 this->OnCancel(request.matches[1], &response);
               });
  server->Post(R"(/([^/]+))",
               [this](const Request& request, Response& response) {
                 this->OnRequest(request, &response);
               });
  server->Get("/health", [this](const Request&, Response& response) {
    const bool healthy = this->Behaviour()->healthy;
    SetJsonResponse(healthy ? R"({"status":"ok"})" : R"({"status":"failing"})",
                    healthy ? 200 : 503, &response);
  });
  server->Get("/load", [this](const Request&, Response& response) {
    this->OnLoad(&response);
  });
  server->Get("/stats", [this](const Request&, Response& response) {
    this->OnStats(&response);
  });
  server->Get("/log", [this](const Request&, Response& response) {
    SetJsonResponse(this->log.ToJson(), 200, &response);
  });
  server->Get("/admissions", [this](const Request&, Response& response) {
    SetJsonResponse(this->admissions.ToJson(), 200, &response);
  });
  server->Delete("/log", [this](const Request&, Response& response) {
    this->log.Clear();
    this->admissions.Clear();
    SetJsonResponse("{}", 200, &response);
  });
}

void FakeWorker::OnRequest(const httplib::Request& request,
                           httplib::Response* response) {
  ++this->requests;
  const std::shared_ptr<const WorkerBehaviour> behaviour = this->Behaviour();
  Execution execution;
  execution.operation = request.matches[1];
  const auto operation = behaviour->operations.find(execution.operation);
  if (operation == behaviour->operations.end()) {
    return SetErrorResponse("unknown operation", 404, response);
  }
  execution.behaviour = operation->second;
  execution.key = RequestKey(request.body);
  execution.cancelled = std::make_shared<absl::Notification>();
  const std::string attempt = request.get_header_value("Boragepaddle-Attempt");
  if (!attempt.empty()) {
    absl::MutexLock lock(&this->mutex);
    this->running[attempt] = execution.cancelled;
  }
  const absl::Time deadline = behaviour->honours_deadline
                                  ? absl::Now() + DeadlineOf(request)
                                  : absl::InfiniteFuture();
  if (this->limiter.Acquire(behaviour->max_waiting, deadline) ==
      AcquireResult::kAcquired) {
    this->Execute(request, &execution, response);
    this->limiter.Release();
  } else {
    ++this->shed;
    SetErrorResponse("shed", 503, response);
  }
  absl::MutexLock lock(&this->mutex);
  this->running.erase(attempt);
}

void FakeWorker::Execute(const httplib::Request& request,
                         Execution* execution,
                         httplib::Response* response) {
  if (execution->cancelled->HasBeenNotified()) {
    ++this->cancelled;
    return SetErrorResponse("cancelled", 503, response);
  }
  ++this->started;
  this->log.OnStarted(execution->operation, execution->key);
  this->admissions.OnStarted(request.get_header_value("Boragepaddle-Class"),
                             absl::Now());
  const std::string marker = this->Behaviour()->crash_marker;
  const absl::Time start = absl::Now();
  const absl::Duration service_time =
      this->SampleServiceTime(execution->behaviour);
  const bool stopped =
      execution->cancelled->WaitForNotificationWithTimeout(service_time);
  execution->busy = absl::Now() - start;
  if (!marker.empty() && absl::StrContains(request.body, marker)) {
    _exit(kCrashExitCode);
  }
  const bool called = !stopped && this->CallChildren(request, *execution);
  if (execution->cancelled->HasBeenNotified()) {
    ++this->cancelled;
    this->log.OnCancelled(execution->operation, execution->key,
                          execution->busy);
    return SetErrorResponse("cancelled", 503, response);
  }
  this->log.OnFinished(execution->operation, execution->key, execution->busy);
  ++this->finished;
  if (!called) {
    ++this->failed;
    return SetErrorResponse("child call failed", 502, response);
  }
  if (this->SampleChance(this->Behaviour()->fail_percent)) {
    ++this->failed;
    return SetErrorResponse("failed as told", 500, response);
  }
  SetJsonResponse(
      ResponseBody(this->service, execution->operation, execution->key,
                   execution->behaviour.answer_bytes),
      200, response);
}

bool FakeWorker::CallChildren(const httplib::Request& request,
                              const Execution& execution) {
  const size_t calls = execution.behaviour.calls.size();
  if (!execution.behaviour.parallel) {
    for (size_t index = 0; index < calls; ++index) {
      if (!this->CallChild(request, execution, index)) {
        return false;
      }
    }
    return true;
  }
  std::vector<std::future<bool>> results;
  for (size_t index = 0; index < calls; ++index) {
    results.push_back(std::async(std::launch::async, [&, index] {
      return this->CallChild(request, execution, index);
    }));
  }
  bool all = true;
  for (std::future<bool>& result : results) {
    all = result.get() && all;
  }
  return all;
}

bool FakeWorker::CallChild(const httplib::Request& request,
                           const Execution& execution,
                           size_t index) {
  const std::string& call = execution.behaviour.calls[index];
  const size_t dot = call.find('.');
  if (dot == std::string::npos || execution.cancelled->HasBeenNotified()) {
    return false;
  }
  const std::string path =
      absl::StrCat("/call/", call.substr(0, dot), "/", call.substr(dot + 1));
  const std::string key = absl::StrCat(execution.key, "/", index);
  const httplib::Result result = this->clients.Post(
      request.get_header_value("Boragepaddle-Node"), path,
      {{"Boragepaddle-Context",
        request.get_header_value("Boragepaddle-Context")}},
      nlohmann::json({{"key", key}})
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      DeadlineOf(request) + kChildResponseMargin);
  return result && result->status == 200 &&
         result->get_header_value("Boragepaddle-Outcome") == "completed" &&
         RequestKey(result->body) == key;
}

void FakeWorker::OnControl(const httplib::Request& request,
                           httplib::Response* response) {
  const auto changed = ApplyBehaviourJson(*this->Behaviour(), request.body);
  if (!changed) {
    return SetErrorResponse(ToString(changed.error()), 400, response);
  }
  this->limiter.SetSlots(changed.value().slots);
  absl::MutexLock lock(&this->mutex);
  this->behaviour = std::make_shared<const WorkerBehaviour>(changed.value());
  SetJsonResponse("{}", 200, response);
}

void FakeWorker::OnCancel(const std::string& attempt,
                          httplib::Response* response) {
  absl::MutexLock lock(&this->mutex);
  const auto found = this->running.find(attempt);
  if (found == this->running.end()) {
    return SetErrorResponse("no such attempt", 404, response);
  }
  if (!found->second->HasBeenNotified()) {
    found->second->Notify();
  }
  SetJsonResponse(R"({"cancelled":true})", 200, response);
}

void FakeWorker::OnLoad(httplib::Response* response) {
  const ConcurrencyStats stats = this->limiter.Stats();
  const std::shared_ptr<const WorkerBehaviour> behaviour = this->Behaviour();
  const auto slots = static_cast<double>(std::max<size_t>(behaviour->slots, 1));
  double load = static_cast<double>(stats.in_flight + stats.waiting) / slots;
  if (behaviour->reported_load >= 0) {
    load = behaviour->reported_load;
  }
  const nlohmann::json json = {
      {"load", load}, {"in_flight", load * slots}, {"slots", slots}};
  SetJsonResponse(json.dump(), 200, response);
}

void FakeWorker::OnStats(httplib::Response* response) {
  const ConcurrencyStats stats = this->limiter.Stats();
  const nlohmann::json json = {{"requests", this->requests.load()},
                               {"started", this->started.load()},
                               {"finished", this->finished.load()},
                               {"failed", this->failed.load()},
                               {"cancelled", this->cancelled.load()},
                               {"shed", this->shed.load()},
                               {"in_flight", stats.in_flight},
                               {"peak_in_flight", stats.peak_in_flight},
                               {"waiting", stats.waiting}};
  SetJsonResponse(json.dump(), 200, response);
}

std::shared_ptr<const WorkerBehaviour> FakeWorker::Behaviour() const {
  absl::MutexLock lock(&this->mutex);
  return this->behaviour;
}

absl::Duration FakeWorker::SampleServiceTime(
    const OperationBehaviour& operation) {
  const std::shared_ptr<const WorkerBehaviour> behaviour = this->Behaviour();
  double milliseconds = operation.service_ms;
  if (operation.spread_ms > 0) {
    absl::MutexLock lock(&this->mutex);
    milliseconds +=
        absl::Uniform(this->random, -operation.spread_ms, operation.spread_ms);
  }
  milliseconds = std::max(milliseconds, 0.0) * behaviour->slow_factor;
  const absl::Duration age = absl::Now() - this->start_time;
  if (age < absl::Seconds(behaviour->cold_start_s)) {
    milliseconds *= behaviour->cold_start_factor;
  }
  return absl::Milliseconds(milliseconds);
}

bool FakeWorker::SampleChance(double percent) {
  if (percent <= 0) {
    return false;
  }
  absl::MutexLock lock(&this->mutex);
  return absl::Bernoulli(this->random, std::min(percent / 100.0, 1.0));
}

}  // namespace emulator
