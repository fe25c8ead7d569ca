#include "boragepaddle/config_service/platform_client.h"

#include <httplib.h>

#include <utility>

#include "absl/strings/str_cat.h"

namespace boragepaddle::config_service {
namespace {

constexpr int kStatusOk = 200;

PlatformError FromFailure(httplib::Error error, bool timed_out) {
  switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
    case httplib::Error::BindIPAddress:
      return PlatformError{PlatformErrorCode::kUnreachable};
    case httplib::Error::Read:
      return PlatformError{timed_out ? PlatformErrorCode::kTimeout
                                     : PlatformErrorCode::kBroken};
    default:
      return PlatformError{PlatformErrorCode::kBroken};
  }
}

}  // namespace

class PlatformClient::Impl {
 public:
  explicit Impl(const ClientSettings& settings)
      : client(absl::StrCat("http://", settings.address)),
        headers({{"Boragepaddle-Zone", settings.availability_zone}}) {
    this->client.set_keep_alive(true);
    this->client.set_tcp_nodelay(true);
    this->client.set_connection_timeout(
        absl::ToChronoMicroseconds(settings.connect_timeout));
  }

  base::Result<std::string, PlatformError> Get(const std::string& path,
                                               absl::Duration wait) {
    this->client.set_read_timeout(absl::ToChronoMicroseconds(wait));
    const auto begin = std::chrono::steady_clock::now();
    httplib::Result result = this->client.Get(path, this->headers);
    if (!result) {
      const auto spent = std::chrono::steady_clock::now() - begin;
      return FromFailure(result.error(), absl::FromChrono(spent) >= wait);
    }
    if (result->status != kStatusOk) {
      return PlatformError{PlatformErrorCode::kStatus, result->status};
    }
    return std::move(result->body);
  }

  void Interrupt() { this->client.stop(); }

 private:
  httplib::Client client;
  const httplib::Headers headers;
};

PlatformClient::PlatformClient(const ClientSettings& settings)
    : impl(std::make_unique<Impl>(settings)) {}

PlatformClient::~PlatformClient() = default;

base::Result<std::string, PlatformError> PlatformClient::Watch(
    absl::string_view path,
    uint64_t after,
    absl::Duration wait) {
  return this->impl->Get(absl::StrCat(path, "/watch?after=", after), wait);
}

void PlatformClient::Interrupt() {
  this->impl->Interrupt();
}

}  // namespace boragepaddle::config_service
