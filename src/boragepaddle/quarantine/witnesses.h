#ifndef BORAGEPADDLE_QUARANTINE_WITNESSES_H_
#define BORAGEPADDLE_QUARANTINE_WITNESSES_H_

#include <cstddef>
#include <string>
#include <vector>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"

namespace boragepaddle::quarantine {

/// Selects up to `count` of the hosts to keep the rejections of a service in
/// case all of its nodes end. All nodes with the same list select the same; few
/// selected hosts change when the list does.
std::vector<std::string> ChooseWitnesses(absl::Span<const std::string> hosts,
                                         absl::string_view service,
                                         size_t count);

}  // namespace boragepaddle::quarantine

#endif  // BORAGEPADDLE_QUARANTINE_WITNESSES_H_
