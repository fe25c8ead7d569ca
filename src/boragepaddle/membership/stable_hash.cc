#include "boragepaddle/membership/stable_hash.h"

#include <xxhash.h>

#include <array>
#include <memory>

namespace boragepaddle::membership {
namespace {

struct FreeState {
  void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

/// Streams fields into one XXH3 digest.
class Digester {
 public:
  Digester() : state(XXH3_createState()) {
    XXH3_64bits_reset(this->state.get());
  }

  void Add(absl::string_view field) {
    // Little-endian length, so that the digest does not depend on the machine.
    std::array<unsigned char, 8> length{};
    for (size_t index = 0; index < length.size(); ++index) {
      length[index] = static_cast<unsigned char>(field.size() >> (8 * index));
    }
    XXH3_64bits_update(this->state.get(), length.data(), length.size());
    XXH3_64bits_update(this->state.get(), field.data(), field.size());
  }

  uint64_t Finish() const { return XXH3_64bits_digest(this->state.get()); }

 private:
  std::unique_ptr<XXH3_state_t, FreeState> state;
};

}  // namespace

uint64_t RendezvousScore(uint64_t seed, absl::string_view vm_id) {
  return XXH3_64bits_withSeed(vm_id.data(), vm_id.size(), seed);
}

uint64_t DigestOf(absl::Span<const schema::VmEntry> vms) {
  Digester digester;
  for (const schema::VmEntry& vm : vms) {
    digester.Add(vm.vm_id);
    digester.Add(vm.member);
    digester.Add(vm.service);
    digester.Add(vm.availability_zone);
    digester.Add(vm.region);
    digester.Add(vm.peer_address);
    digester.Add(schema::ToString(vm.state));
  }
  return digester.Finish();
}

}  // namespace boragepaddle::membership
