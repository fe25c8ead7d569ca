// Calls one operation through the caller library and prints its outcome.
#include <cstdio>
#include <string>

#include "boragepaddle/caller/caller.h"

int main(int argc, char** argv) {
  if (argc < 5) {
    std::fprintf(stderr,
                 "Usage: call_operation SERVICE OPERATION BODY NODE...\n"
                 "NODE is the caller address of a node, as host:port.\n");
    return 2;
  }
  boragepaddle::caller::CallerSettings settings;
  for (int i = 4; i < argc; ++i) {
    settings.entry_nodes.emplace_back(argv[i]);
  }
  boragepaddle::caller::Caller caller(settings);
  const auto result = caller.Call(argv[1], argv[2], argv[3]);
  const std::string outcome(ToString(result.outcome));
  const std::string reason(ToString(result.reason));
  std::printf("outcome=%s reason=%s status=%u\n%s\n", outcome.c_str(),
              reason.c_str(), result.status, result.body.c_str());
  return result.outcome == boragepaddle::schema::Outcome::kCompleted ? 0 : 1;
}
