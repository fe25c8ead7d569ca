#ifndef BORAGEPADDLE_PLATFORM_DOCUMENTS_H_
#define BORAGEPADDLE_PLATFORM_DOCUMENTS_H_

#include "absl/strings/string_view.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/catalog/route_catalog.h"
#include "boragepaddle/catalog/worker_directory.h"
#include "boragepaddle/proxy/dialect.h"

namespace boragepaddle::platform {

/// Decodes the operators' configuration, whole or not at all. The revision is
/// left to the caller.
base::Result<catalog::RouteCatalog, proxy::DocumentFault> DecodeCatalog(
    absl::string_view document);

/// Decodes a worker's entry. Foreign or damaged entries are faults.
base::Result<catalog::WorkerEntry, proxy::DocumentFault> DecodeWorker(
    absl::string_view key,
    absl::string_view document);

}  // namespace boragepaddle::platform

#endif  // BORAGEPADDLE_PLATFORM_DOCUMENTS_H_
