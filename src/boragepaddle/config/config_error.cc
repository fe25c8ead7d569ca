#include "boragepaddle/config/config_error.h"

#include "absl/strings/str_cat.h"

namespace boragepaddle::config {

absl::string_view ToString(ConfigErrorCode code) {
  switch (code) {
    case ConfigErrorCode::kInvalidFile:
      return "invalid-file";
    case ConfigErrorCode::kDuplicateMember:
      return "duplicate-member";
    case ConfigErrorCode::kBadName:
      return "bad-name";
    case ConfigErrorCode::kBadApproval:
      return "bad-approval";
    case ConfigErrorCode::kApprovalGap:
      return "approval-gap";
    case ConfigErrorCode::kDuplicateService:
      return "duplicate-service";
    case ConfigErrorCode::kForeignService:
      return "foreign-service";
    case ConfigErrorCode::kDuplicateOperation:
      return "duplicate-operation";
    case ConfigErrorCode::kBadCallTarget:
      return "bad-call-target";
    case ConfigErrorCode::kUnknownService:
      return "unknown-service";
    case ConfigErrorCode::kUnknownOperation:
      return "unknown-operation";
    case ConfigErrorCode::kCallCycle:
      return "call-cycle";
    case ConfigErrorCode::kCallTooDeep:
      return "call-too-deep";
    case ConfigErrorCode::kContradiction:
      return "contradiction";
    case ConfigErrorCode::kUnsafeRetry:
      return "unsafe-retry";
    case ConfigErrorCode::kVersionConflict:
      return "version-conflict";
    case ConfigErrorCode::kDigestMismatch:
      return "digest-mismatch";
  }
  return "invalid";
}

std::string Describe(const ConfigError& error) {
  std::string text;
  for (const std::string* part : {&error.file, &error.path}) {
    if (!part->empty()) {
      absl::StrAppend(&text, *part, ": ");
    }
  }
  absl::StrAppend(&text, ToString(error.code));
  if (!error.value.empty()) {
    absl::StrAppend(&text, " ", error.value);
  }
  absl::StrAppend(&text, ": ", error.reason);
  if (!error.correction.empty()) {
    absl::StrAppend(&text, "; ", error.correction);
  }
  return text;
}

}  // namespace boragepaddle::config
