#ifndef EMULATOR_FAKE_WORKER_H_
#define EMULATOR_FAKE_WORKER_H_

#include <httplib.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/random/random.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "absl/time/time.h"
#include "emulator/admission_windows.h"
#include "emulator/client_pool.h"
#include "emulator/concurrency_limiter.h"
#include "emulator/execution_log.h"
#include "emulator/worker_behaviour.h"

namespace emulator {

/// Worker of one service that behaves as a file says. It runs the operations
/// by waiting, makes the child calls and logs what it ran.
class FakeWorker {
 public:
  FakeWorker(std::string service,
             WorkerBehaviour behaviour,
             const std::string& journal_path);

  /// Adds the handlers of all paths.
  void AddHandlers(httplib::Server* server);

 private:
  struct Execution {
    std::string operation;
    std::string key;
    OperationBehaviour behaviour;
    std::shared_ptr<absl::Notification> cancelled;
    absl::Duration busy;
  };

  void OnRequest(const httplib::Request& request, httplib::Response* response);
  void Execute(const httplib::Request& request,
               Execution* execution,
               httplib::Response* response);
  bool CallChildren(const httplib::Request& request,
                    const Execution& execution);
  bool CallChild(const httplib::Request& request,
                 const Execution& execution,
                 size_t index);
  void OnControl(const httplib::Request& request, httplib::Response* response);
  void OnCancel(const std::string& attempt, httplib::Response* response);
  void OnLoad(httplib::Response* response);
  void OnStats(httplib::Response* response);

  std::shared_ptr<const WorkerBehaviour> Behaviour() const;
  absl::Duration SampleServiceTime(const OperationBehaviour& operation);
  bool SampleChance(double percent);

  const std::string service;
  const absl::Time start_time;
  mutable absl::Mutex mutex;
  std::shared_ptr<const WorkerBehaviour> behaviour ABSL_GUARDED_BY(mutex);
  absl::flat_hash_map<std::string, std::shared_ptr<absl::Notification>> running
      ABSL_GUARDED_BY(mutex);
  absl::BitGen random ABSL_GUARDED_BY(mutex);
  ConcurrencyLimiter limiter;
  ExecutionLog log;
  AdmissionWindows admissions;
  ClientPool clients;
  std::atomic<uint64_t> requests{0};
  std::atomic<uint64_t> started{0};
  std::atomic<uint64_t> finished{0};
  std::atomic<uint64_t> failed{0};
  std::atomic<uint64_t> cancelled{0};
  std::atomic<uint64_t> shed{0};
};

}  // namespace emulator

#endif  // EMULATOR_FAKE_WORKER_H_
