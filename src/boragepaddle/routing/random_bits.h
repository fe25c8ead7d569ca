#ifndef BORAGEPADDLE_ROUTING_RANDOM_BITS_H_
#define BORAGEPADDLE_ROUTING_RANDOM_BITS_H_

#include <cstdint>

namespace boragepaddle::routing {

/// Derives independent random bits from `random` for each value of `use`, so
/// that one random argument serves several decisions.
uint64_t DeriveBits(uint64_t random, uint64_t use);

/// Maps random bits to [0, 1).
double ToUnitInterval(uint64_t random);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_RANDOM_BITS_H_
