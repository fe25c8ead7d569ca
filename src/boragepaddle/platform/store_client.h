#ifndef BORAGEPADDLE_PLATFORM_STORE_CLIENT_H_
#define BORAGEPADDLE_PLATFORM_STORE_CLIENT_H_

#include <boost/asio/io_context.hpp>

#include "boragepaddle/event/http_get_client.h"
#include "boragepaddle/event/key_value_source.h"

namespace boragepaddle::platform {

/// HTTP client of the platform's metadata store.
class StoreClient : public event::KeyValueSource {
 public:
  StoreClient(boost::asio::io_context& loop, const event::Tcp::endpoint& store);

  void List(absl::string_view prefix,
            absl::string_view after_key,
            event::ReadMode mode,
            Callback callback) override;
  void Watch(absl::string_view prefix,
             uint64_t after_revision,
             absl::Duration wait,
             absl::Duration response_margin,
             Callback callback) override;
  void Abort() override;

 private:
  event::HttpGetClient http;
};

/// Decodes the response to a range read or a watch.
base::Result<event::SourcePage, event::SourceError> DecodePage(
    const event::HttpGetResult& response);

}  // namespace boragepaddle::platform

#endif  // BORAGEPADDLE_PLATFORM_STORE_CLIENT_H_
