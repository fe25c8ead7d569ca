#include "boragepaddle/event/run_event_loop.h"

#include <exception>

namespace boragepaddle::event {

// Own code reports errors by value, but libraries and the allocator throw. One
// request or message must not end the process with all others in it.
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
