#include "boragepaddle/event/open_listener.h"

namespace boragepaddle::event {

boost::system::error_code OpenListener(Tcp::acceptor& acceptor,
                                       const Tcp::endpoint& endpoint,
                                       int backlog) {
  boost::system::error_code error;
  acceptor.open(endpoint.protocol(), error);
  if (error) {
    return error;
  }
  acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (error) {
    return error;
  }
  acceptor.bind(endpoint, error);
  if (error) {
    return error;
  }
  acceptor.listen(backlog, error);
  return error;
}

}  // namespace boragepaddle::event
