#ifndef BORAGEPADDLE_MEMBERSHIP_STABLE_HASH_H_
#define BORAGEPADDLE_MEMBERSHIP_STABLE_HASH_H_

#include <cstdint>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::membership {

/// Mixes a number with a VM id; used to order VMs.
uint64_t RendezvousScore(uint64_t seed, absl::string_view vm_id);

/// Digest of a VM list; `vms` must be sorted by id.
uint64_t DigestOf(absl::Span<const schema::VmEntry> vms);

}  // namespace boragepaddle::membership

#endif  // BORAGEPADDLE_MEMBERSHIP_STABLE_HASH_H_
