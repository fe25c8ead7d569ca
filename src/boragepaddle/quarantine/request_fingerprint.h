#ifndef BORAGEPADDLE_QUARANTINE_REQUEST_FINGERPRINT_H_
#define BORAGEPADDLE_QUARANTINE_REQUEST_FINGERPRINT_H_

#include <cstdint>

#include "absl/strings/string_view.h"

namespace boragepaddle::quarantine {

/// What makes two requests equal for the quarantine: all attempts of a request
/// by the clients of one service, at any node. Workers may handle another
/// caller or authority differently, so that its requests neither clear nor
/// incriminate this one; the same holds for the workers of another service.
struct RequestIdentity {
  absl::string_view service;
  absl::string_view method;
  absl::string_view authority;
  absl::string_view target;
  absl::string_view origin_service;
  absl::string_view body;
};

uint64_t Fingerprint(const RequestIdentity& request);

}  // namespace boragepaddle::quarantine

#endif  // BORAGEPADDLE_QUARANTINE_REQUEST_FINGERPRINT_H_
