#ifndef BORAGEPADDLE_PROXY_DIALECT_H_
#define BORAGEPADDLE_PROXY_DIALECT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "absl/strings/string_view.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/catalog/route_catalog.h"
#include "boragepaddle/catalog/worker_directory.h"

namespace boragepaddle::proxy {

/// HTTP header fields and paths that a deployment defines.
struct HttpDialect {
  /// Identifies a request of a client; echoed in the responses of workers.
  std::string request_id;
  /// Time left until the sender gives up, in milliseconds.
  std::string time_left_ms;
  /// Worker instance that is to run the request; other instances refuse it.
  std::string expected_instance;
  /// Service of the VM that sent the request.
  std::string origin_service;
  /// Key of the client account, after the scheme and a space.
  std::string credentials;
  std::string credentials_scheme;
  /// Name of the client account, set for the worker.
  std::string account;
  /// Response: the worker did not run the request.
  std::string not_run;
  /// Response: requests per second, a decimal number, that the worker accepts
  /// from all VMs together for as long as its responses have this field.
  std::string rate_limit;
  /// Response: `RUNNING,WAITING,SLOTS[,SPEED]` of the worker, see
  /// admission::ParseWorkerLoad.
  std::string worker_load;
  /// Response: the worker is leaving and must get no new requests.
  std::string leaving;
  /// Refusal: seconds until the client may retry.
  std::string retry_after;
  /// Returns the id of the parent request that a worker was running when it
  /// made the request with this id; empty for requests of clients.
  std::function<absl::string_view(absl::string_view)> parent_id;
  /// Path of the readiness probe.
  std::string ready_path;
};

/// Reason for the rejection of a document of the store.
struct DocumentFault {
  /// Position and kind of the error, for the log.
  std::string detail;
};

/// Keys and document formats of the store that a deployment defines.
struct StoreDialect {
  /// Key of the configuration.
  std::string config_key;
  /// Prefix of the keys of the workers' entries.
  std::string worker_prefix;
  std::function<base::Result<catalog::RouteCatalog, DocumentFault>(
      absl::string_view document)>
      decode_catalog;
  std::function<base::Result<catalog::WorkerEntry, DocumentFault>(
      absl::string_view key,
      absl::string_view document)>
      decode_worker;
};

}  // namespace boragepaddle::proxy

#endif  // BORAGEPADDLE_PROXY_DIALECT_H_
