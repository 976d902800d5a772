// Client that polls the platform's host list.

#ifndef CHERVILWICK_STORE_HOST_LIST_CLIENT_H_
#define CHERVILWICK_STORE_HOST_LIST_CLIENT_H_

#include <functional>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/time/time.h"
#include "chervilwick/kernel/duty.h"
#include "chervilwick/kernel/kernel.h"
#include "chervilwick/store/host_list.h"
#include "chervilwick/support/mutex.h"

namespace chervilwick {

// Polls the list on a thread of its own and passes each valid list to a
// handler. Failed reads are not reported.
class HostListClient : public Service {
 public:
  using Handler = std::function<void(std::vector<HostRecord>)>;

  // `address` is the ip:port that serves GET /hosts.
  HostListClient(std::string address, absl::Duration interval,
                 Handler on_hosts);
  ~HostListClient() override;
  void Start() override;
  void Stop() override;

 private:
  void Loop();
  void ReadOnce();

  const std::string address_;
  const absl::Duration interval_;
  const Handler on_hosts_;
  Mutex mutex_;
  CondVar stop_;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  Duty duty_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_STORE_HOST_LIST_CLIENT_H_
