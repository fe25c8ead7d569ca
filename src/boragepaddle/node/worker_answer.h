#ifndef BORAGEPADDLE_NODE_WORKER_ANSWER_H_
#define BORAGEPADDLE_NODE_WORKER_ANSWER_H_

#include <cstdint>
#include <string>

namespace boragepaddle::node {

/// How a call to the worker ended.
enum class WorkerCallEnd : uint8_t {
  /// A whole answer.
  kAnswered,
  /// No connection: the worker never saw the call.
  kNotSent,
  /// The connection broke before a whole answer.
  kBroken,
  /// No whole answer in time.
  kTimeout,
};

/// End of a call to the worker and its answer.
struct WorkerAnswer {
  WorkerCallEnd end = WorkerCallEnd::kNotSent;
  uint32_t status = 0;
  std::string content_type;
  std::string body;
};

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_WORKER_ANSWER_H_
