#ifndef BORAGEPADDLE_ROUTING_LOCALITY_H_
#define BORAGEPADDLE_ROUTING_LOCALITY_H_

#include <string>

namespace boragepaddle::routing {

/// Where this node runs.
struct Locality {
  std::string availability_zone;
  std::string region;
  /// VM id of this node; selects its subset of a large service.
  std::string vm_id;
};

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_LOCALITY_H_
