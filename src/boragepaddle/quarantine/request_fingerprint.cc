#include "boragepaddle/quarantine/request_fingerprint.h"

#include <string>

#include "absl/strings/ascii.h"
#include "boragepaddle/base/stable_hash.h"

namespace boragepaddle::quarantine {

uint64_t Fingerprint(const RequestIdentity& request) {
  const std::string authority = absl::AsciiStrToLower(request.authority);
  return base::StableHash({request.service, request.method, authority,
                           request.target, request.origin_service,
                           request.body});
}

}  // namespace boragepaddle::quarantine
