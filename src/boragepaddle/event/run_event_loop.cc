#include "boragepaddle/event/run_event_loop.h"

#include <exception>

namespace boragepaddle::event {

// The project's own code returns errors as values, but libraries and the
// allocator throw. An exception in the handler of one request or message must
// not terminate the process, which would fail all other requests.
void RunEventLoop(boost::asio::io_context& loop,
                  const std::function<void(absl::string_view)>& on_error) {
  while (true) {
    try {
      loop.run();
      return;
    } catch (const std::exception& error) {
      on_error(error.what());
    }
  }
}

}  // namespace boragepaddle::event
