#ifndef BORAGEPADDLE_ROUTING_LOCALITY_H_
#define BORAGEPADDLE_ROUTING_LOCALITY_H_

#include <string>

namespace boragepaddle::routing {

/// Location and identity of this node.
struct Locality {
  std::string availability_zone;
  std::string region;
  /// VM id of this node; determines its subset of a large service.
  std::string vm_id;
};

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_LOCALITY_H_
