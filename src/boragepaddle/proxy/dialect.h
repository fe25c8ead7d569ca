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

/// Header fields of the HTTP interface that a deployment defines.
struct HttpDialect {
  /// Names an attempt of a client; echoed by workers.
  std::string request_id;
  /// Milliseconds that the sender waits.
  std::string time_left_ms;
  /// Instance that is to run the request; others refuse it.
  std::string expected_instance;
  /// Service of the VM where the request began.
  std::string origin_service;
  /// In an answer: the worker did not run the request.
  std::string not_run;
  /// In a refusal: seconds until the client may come back.
  std::string retry_after;
  /// Id of the request for which a worker made the request with this id;
  /// empty for requests of clients.
  std::function<absl::string_view(absl::string_view)> parent_id;
  /// Path of the readiness probe.
  std::string ready_path;
};

/// Why a document of the store was not accepted.
struct DocumentFault {
  /// Where and what, for the log.
  std::string detail;
};

/// Keys and documents of the store that a deployment defines.
struct StoreDialect {
  /// Key of the newest configuration.
  std::string config_key;
  /// Prefix of the workers' entries.
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
