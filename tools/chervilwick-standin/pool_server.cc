// HTTP server of the stand-ins.

#include "pool_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "chervilwick/support/host_port.h"
#include "chervilwick/support/mutex.h"

namespace chervilwick {
namespace {

constexpr int kListenBacklog = 1024;
constexpr int kKeepAliveRequests = 1000;
constexpr int kReadTimeoutSeconds = 5;
constexpr int kWriteTimeoutSeconds = 5;

// Grows by a thread when none is idle, up to a maximum; more connections wait
// for a thread.
class GrowingTaskQueue : public httplib::TaskQueue {
 public:
  explicit GrowingTaskQueue(size_t max_threads) : max_threads_(max_threads) {}

  void enqueue(  // NOLINT(readability-identifier-naming)
      std::function<void()> task) override {
    MutexLock lock(&mutex_);
    tasks_.push_back(std::move(task));
    changed_.NotifyAll();
    if (idle_ < tasks_.size() && alive_ < max_threads_) {
      ++alive_;
      threads_.push_back(std::make_unique<Duty>());
      threads_.back()->Start("http", [this] { Loop(); });
    }
  }

  void shutdown() override {  // NOLINT(readability-identifier-naming)
    std::vector<std::unique_ptr<Duty>> threads;
    {
      MutexLock lock(&mutex_);
      stopping_ = true;
      changed_.NotifyAll();
      threads = std::move(threads_);
    }
    for (auto& it : threads) it->Join();
  }

 private:
  void Loop() {
    while (std::optional<std::function<void()>> task = Next()) (*task)();
  }

  std::optional<std::function<void()>> Next() {
    MutexLock lock(&mutex_);
    ++idle_;
    changed_.Wait(mutex_, [this] { return HasWork(); });
    --idle_;
    if (tasks_.empty()) return std::nullopt;
    std::function<void()> task = std::move(tasks_.front());
    tasks_.pop_front();
    return task;
  }

  bool HasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return stopping_ || !tasks_.empty();
  }

  const size_t max_threads_;
  Mutex mutex_;
  CondVar changed_;
  std::deque<std::function<void()>> tasks_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::unique_ptr<Duty>> threads_ ABSL_GUARDED_BY(mutex_);
  size_t idle_ ABSL_GUARDED_BY(mutex_) = 0;
  size_t alive_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace

class PoolServer::Impl : public httplib::Server {
 public:
  // The library listens with a backlog of five.
  void WidenBacklog() { ::listen(svr_sock_, kListenBacklog); }
};

PoolServer::PoolServer(PoolServerOptions options)
    : options_(std::move(options)), impl_(std::make_unique<Impl>()) {
  size_t max_threads = options_.max_threads;
  impl_->new_task_queue = [max_threads] {
    return new GrowingTaskQueue(max_threads);  // the library deletes it
  };
  impl_->set_payload_max_length(options_.max_body_bytes);
  impl_->set_keep_alive_max_count(kKeepAliveRequests);
  impl_->set_read_timeout(kReadTimeoutSeconds);
  impl_->set_write_timeout(kWriteTimeoutSeconds);
  impl_->set_tcp_nodelay(true);
  impl_->set_socket_options([](int fd) {
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
}

PoolServer::~PoolServer() { Stop(); }

httplib::Server& PoolServer::server() { return *impl_; }

std::optional<std::string> PoolServer::Bind() {
  HostPort address = SplitAddress(options_.address);
  if (!impl_->bind_to_port(address.host, address.port)) {
    return absl::StrCat("cannot listen on ", options_.address,
                        ": address in use or not of this host");
  }
  impl_->WidenBacklog();
  return std::nullopt;
}

void PoolServer::Start() {
  duty_.Start("http-accept", [this] { impl_->listen_after_bind(); });
}

void PoolServer::Stop() {
  impl_->stop();
  duty_.Join();
}

}  // namespace chervilwick
