#include "boragepaddle/platform/wire_names.h"

#include "boragepaddle/platform/documents.h"

namespace boragepaddle::platform {

namespace {

/// Returns the id of the request that made the nested call `id`; empty if there
/// is none. Workers derive the id of a nested call by appending a dot and a
/// suffix to the id of the request that they run.
absl::string_view ParentId(absl::string_view id) {
  const size_t dot = id.rfind('.');
  return dot == absl::string_view::npos ? absl::string_view()
                                        : id.substr(0, dot);
}

}  // namespace

proxy::HttpDialect MakeHttpDialect() {
  proxy::HttpDialect dialect;
  dialect.request_id = "Attempt-Id";
  // Despite its name, holds the time left in milliseconds, not a point in time.
  dialect.time_left_ms = "Deadline-Ms";
  dialect.expected_instance = "Expected-Instance";
  // Service of the VM where the root request began, not of the direct caller.
  dialect.origin_service = "Caller-Service";
  dialect.credentials = "Authorization";
  dialect.credentials_scheme = "Token";
  dialect.account = "Tenant-Id";
  dialect.not_run = "Not-Executed";
  dialect.rate_limit = "Server-Limit";
  dialect.worker_load = "Server-Load";
  dialect.leaving = "Server-Leaving";
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
