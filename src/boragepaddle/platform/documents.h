#ifndef BORAGEPADDLE_PLATFORM_DOCUMENTS_H_
#define BORAGEPADDLE_PLATFORM_DOCUMENTS_H_

#include "absl/strings/string_view.h"
#include "boragepaddle/base/result.h"
#include "boragepaddle/catalog/route_catalog.h"
#include "boragepaddle/catalog/worker_directory.h"
#include "boragepaddle/proxy/dialect.h"

namespace boragepaddle::platform {

/// Decodes the operators' configuration. Any invalid part fails the whole
/// document. The caller sets the revision.
base::Result<catalog::RouteCatalog, proxy::DocumentFault> DecodeCatalog(
    absl::string_view document);

/// Decodes a worker's entry. `key` ends with the instance id. An incomplete or
/// malformed entry is an error.
base::Result<catalog::WorkerEntry, proxy::DocumentFault> DecodeWorker(
    absl::string_view key,
    absl::string_view document);

}  // namespace boragepaddle::platform

#endif  // BORAGEPADDLE_PLATFORM_DOCUMENTS_H_
