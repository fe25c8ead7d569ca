#ifndef BORAGEPADDLE_EVENT_RUN_EVENT_LOOP_H_
#define BORAGEPADDLE_EVENT_RUN_EVENT_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "absl/strings/string_view.h"

namespace boragepaddle::event {

/// Runs the loop until it is stopped or has nothing left to do. A handler that
/// throws ends by itself; `on_error` is told why, and the loop goes on.
void RunEventLoop(boost::asio::io_context& loop,
                  const std::function<void(absl::string_view)>& on_error);

}  // namespace boragepaddle::event

#endif  // BORAGEPADDLE_EVENT_RUN_EVENT_LOOP_H_
