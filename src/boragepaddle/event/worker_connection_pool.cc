#include "boragepaddle/event/worker_connection_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iterator>
#include <utility>

#include "boragepaddle/event/worker_connection.h"

namespace boragepaddle::event {

absl::string_view ToString(WorkerOutcome outcome) {
  switch (outcome) {
    case WorkerOutcome::kAnswered:
      return "answered";
    case WorkerOutcome::kNotRun:
      return "not_run";
    case WorkerOutcome::kNotSent:
      return "not_sent";
    case WorkerOutcome::kConnectionLost:
      return "connection_lost";
    case WorkerOutcome::kInvalidResponse:
      return "invalid_response";
    case WorkerOutcome::kNoMemory:
      return "no_memory";
    case WorkerOutcome::kCancelled:
      return "cancelled";
  }
  return "invalid";
}

WorkerConnectionPool::WorkerConnectionPool(boost::asio::io_context& loop,
                                           const WorkerFieldNames& names,
                                           MemoryBudget& memory)
    : loop(loop), names(names), memory(memory) {}

WorkerConnectionPool::~WorkerConnectionPool() = default;

void WorkerConnectionPool::SetWorker(const Tcp::endpoint& endpoint) {
  if (this->worker == endpoint) {
    return;
  }
  this->worker = endpoint;
  const auto old = this->idle;
  for (const auto& connection : old) {
    connection->Close();
  }
}

void WorkerConnectionPool::Send(uint64_t id, WorkerRequest request, Done done) {
  // Posted, so that `done` is never called from within Send.
  boost::asio::post(this->loop, [this, id, request = std::move(request),
                                 done = std::move(done)]() mutable {
    this->Dispatch(id, std::move(request), std::move(done));
  });
}

void WorkerConnectionPool::Dispatch(uint64_t id,
                                    WorkerRequest request,
                                    Done done) {
  // A late copy of the answer to an earlier sending of the same request could
  // not be told from the answer to this one.
  const auto usable = std::find_if(
      this->idle.rbegin(), this->idle.rend(), [&](const auto& candidate) {
        return !candidate->HasSent(request.request_id);
      });
  std::shared_ptr<WorkerConnection> connection;
  if (usable == this->idle.rend()) {
    connection = std::make_shared<WorkerConnection>(*this, this->worker);
    ++this->opened_count;
  } else {
    connection = *usable;
    this->idle.erase(std::next(usable).base());
  }
  this->busy[id] = connection;
  connection->Run(id, std::move(request), std::move(done));
}

void WorkerConnectionPool::Cancel(uint64_t id) {
  // Posted like Send, so that it runs after the Dispatch of an earlier Send.
  boost::asio::post(this->loop, [this, id] {
    const auto found = this->busy.find(id);
    if (found != this->busy.end()) {
      const auto connection = found->second;
      connection->Cancel();
    }
  });
}

void WorkerConnectionPool::Tick(absl::Time now) {
  const auto copy = this->idle;
  for (const auto& connection : copy) {
    if (connection->usable_until() <= now) {
      connection->Close();
    }
  }
}

void WorkerConnectionPool::Probe(const ProbeSettings& settings,
                                 std::function<void(ProbeResult)> done) {
  ProbeAccept(this->loop, this->worker, settings, std::move(done));
}

bool WorkerConnectionPool::HasConnectionFrom(absl::Time before) const {
  const auto is_older = [before](const WorkerConnection& connection) {
    return connection.connected_at() < before;
  };
  return std::any_of(this->idle.begin(), this->idle.end(),
                     [&](const auto& entry) { return is_older(*entry); }) ||
         std::any_of(
             this->busy.begin(), this->busy.end(),
             [&](const auto& entry) { return is_older(*entry.second); });
}

void WorkerConnectionPool::Release(
    const std::shared_ptr<WorkerConnection>& connection) {
  this->busy.erase(connection->id());
  if (connection->worker() == this->worker) {
    this->idle.push_back(connection);
    return;
  }
  connection->Close();
}

void WorkerConnectionPool::OnBufferedBytesChanged(uint64_t before,
                                                  uint64_t now) {
  this->buffered_bytes = this->buffered_bytes - before + now;
  if (now <= before || this->buffered_bytes <= this->max_buffered_bytes) {
    return;
  }
  const auto largest = std::max_element(
      this->busy.begin(), this->busy.end(), [](const auto& a, const auto& b) {
        return a.second->buffered_bytes() < b.second->buffered_bytes();
      });
  if (largest != this->busy.end()) {
    const auto connection = largest->second;
    connection->AbortResponse();
  }
}

void WorkerConnectionPool::Remove(
    const std::shared_ptr<WorkerConnection>& connection) {
  this->busy.erase(connection->id());
  const auto found =
      std::find(this->idle.begin(), this->idle.end(), connection);
  if (found != this->idle.end()) {
    this->idle.erase(found);
  }
}

}  // namespace boragepaddle::event
