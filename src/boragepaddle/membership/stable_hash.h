#ifndef BORAGEPADDLE_MEMBERSHIP_STABLE_HASH_H_
#define BORAGEPADDLE_MEMBERSHIP_STABLE_HASH_H_

#include <cstdint>
#include <initializer_list>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::membership {

/// Hash of a list of fields that is the same in every process. Each field is
/// hashed with its length, so moving a byte between fields changes the result.
uint64_t StableHash(std::initializer_list<absl::string_view> fields);

/// Mixes a number with a VM id; used to order VMs.
uint64_t StableOrder(uint64_t seed, absl::string_view vm_id);

/// Digest of a VM list; `vms` must be sorted by id.
uint64_t DigestOf(absl::Span<const schema::VmEntry> vms);

/// Digest of a configuration folder; `files` must be sorted by name.
uint64_t DigestOf(absl::Span<const schema::FileText> files);

}  // namespace boragepaddle::membership

#endif  // BORAGEPADDLE_MEMBERSHIP_STABLE_HASH_H_
