#include "boragepaddle/platform/wire_names.h"

#include "boragepaddle/platform/documents.h"

namespace boragepaddle::platform {

namespace {

/// Workers extend the id of the request that they run by a dot and a part of
/// their own.
absl::string_view ParentId(absl::string_view id) {
  const size_t dot = id.rfind('.');
  return dot == absl::string_view::npos ? absl::string_view()
                                        : id.substr(0, dot);
}

}  // namespace

proxy::HttpDialect MakeHttpDialect() {
  proxy::HttpDialect dialect;
  dialect.request_id = "Attempt-Id";
  // Despite its name no point in time: the milliseconds that are left.
  dialect.time_left_ms = "Deadline-Ms";
  dialect.expected_instance = "Expected-Instance";
  // The service that runs on the VM of the first sender, not the caller's own.
  dialect.origin_service = "Caller-Service";
  dialect.not_run = "Not-Executed";
  dialect.retry_after = "Retry-After";
  dialect.parent_id = ParentId;
  dialect.ready_path = "/boragepaddle/ready";
  return dialect;
}

proxy::StoreDialect MakeStoreDialect() {
  proxy::StoreDialect dialect;
  dialect.config_key = "op/config";
  dialect.worker_prefix = "servers/";
  dialect.decode_catalog = DecodeCatalog;
  dialect.decode_worker = DecodeWorker;
  return dialect;
}

}  // namespace boragepaddle::platform
