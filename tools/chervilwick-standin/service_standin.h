// Stand-in for a plain service that counts how often each call ran.

#ifndef CHERVILWICK_TOOLS_STANDIN_SERVICE_STANDIN_H_
#define CHERVILWICK_TOOLS_STANDIN_SERVICE_STANDIN_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/time/time.h"
#include "chervilwick/support/mutex.h"
#include "pool_server.h"

namespace chervilwick {

struct ServiceStandinOptions {
  std::string name;
  std::string address;  // ip:port
  absl::Duration delay = absl::Milliseconds(5);
};

class ServiceStandin {
 public:
  explicit ServiceStandin(ServiceStandinOptions options);
  // Returns an error text when the address can't be had.
  std::optional<std::string> Start();
  void Stop() { http_.Stop(); }

 private:
  void Serve(const httplib::Request& req, httplib::Response& res);

  const ServiceStandinOptions options_;
  PoolServer http_;
  Mutex mutex_;
  std::map<std::string, uint64_t> runs_ ABSL_GUARDED_BY(mutex_);  // by body
  absl::Duration delay_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace chervilwick

#endif  // CHERVILWICK_TOOLS_STANDIN_SERVICE_STANDIN_H_
