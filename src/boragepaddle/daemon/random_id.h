#ifndef BORAGEPADDLE_DAEMON_RANDOM_ID_H_
#define BORAGEPADDLE_DAEMON_RANDOM_ID_H_

#include <cstdint>
#include <string>

namespace boragepaddle::daemon {

/// Returns 64 random bits.
uint64_t RandomBits();

/// Returns 128 random bits as 32 hexadecimal digits.
std::string RandomId();

}  // namespace boragepaddle::daemon

#endif  // BORAGEPADDLE_DAEMON_RANDOM_ID_H_
