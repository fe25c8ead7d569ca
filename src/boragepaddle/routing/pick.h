#ifndef BORAGEPADDLE_ROUTING_PICK_H_
#define BORAGEPADDLE_ROUTING_PICK_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "absl/types/span.h"
#include "boragepaddle/routing/locality.h"
#include "boragepaddle/routing/route_table.h"
#include "boragepaddle/schema/messages.h"

namespace boragepaddle::routing {

/// What a choice of an upstream depends on besides the table.
struct PickQuery {
  schema::CallClass call_class = schema::CallClass::kStandard;
  /// VM ids that have been tried.
  absl::Span<const std::string> exclude;
  /// Only upstreams whose recent level admits the class.
  bool only_admitting = false;
  absl::Time now;
  uint64_t random = 0;
};

/// Result of a choice.
struct Pick {
  /// Null if there is none.
  const Upstream* upstream = nullptr;
  /// An upstream was left out because its recent level refuses the class.
  bool refused = false;
};

/// Picks the better of two upstreams by in flight and measured delay. Nearer
/// upstreams are preferred unless they are much slower. Upstreams that are
/// silent or in back-off are a last resort.
Pick PickUpstream(const RouteTable& table,
                  const Locality& locality,
                  const PickQuery& query);

/// Plain round robin over the listed live upstreams; for comparisons.
const Upstream* PickRoundRobin(const RouteTable& table, uint64_t turn);

}  // namespace boragepaddle::routing

#endif  // BORAGEPADDLE_ROUTING_PICK_H_
