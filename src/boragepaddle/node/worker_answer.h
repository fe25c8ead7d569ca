#ifndef BORAGEPADDLE_NODE_WORKER_ANSWER_H_
#define BORAGEPADDLE_NODE_WORKER_ANSWER_H_

#include <cstdint>
#include <string>

namespace boragepaddle::node {

/// How a call to the worker ended.
enum class WorkerCallEnd : uint8_t {
  /// The complete answer was received.
  kAnswered,
  /// No connection; the worker never received the call.
  kNotSent,
  /// The connection broke before the complete answer.
  kBroken,
  /// No complete answer in time.
  kTimeout,
};

/// Result of a call to the worker.
struct WorkerAnswer {
  WorkerCallEnd end = WorkerCallEnd::kNotSent;
  uint32_t status = 0;
  std::string content_type;
  std::string body;
};

}  // namespace boragepaddle::node

#endif  // BORAGEPADDLE_NODE_WORKER_ANSWER_H_
