#include "boragepaddle/platform/wire_names.h"

#include "boragepaddle/platform/documents.h"

namespace boragepaddle::platform {

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
  dialect.ready_path = "/boragepaddle/ready";
  return dialect;
}

proxy::StoreDialect MakeStoreDialect() {
  proxy::StoreDialect dialect;
  dialect.config_prefix = "op/";
  dialect.config_key = "op/config";
  dialect.worker_prefix = "servers/";
  dialect.decode_catalog = DecodeCatalog;
  dialect.decode_worker = DecodeWorker;
  return dialect;
}

}  // namespace boragepaddle::platform
