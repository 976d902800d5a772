// Stand-in for the platform's key-value service: the subset of etcd v3's JSON
// interface that the system uses, in memory, with faults on request.

#ifndef CHERVILWICK_TOOLS_STANDIN_KV_STANDIN_H_
#define CHERVILWICK_TOOLS_STANDIN_KV_STANDIN_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/time/time.h"
#include "chervilwick/support/mutex.h"
#include "pool_server.h"

namespace chervilwick {

class KvStandin {
 public:
  explicit KvStandin(const std::string& address);
  // Returns an error text when the address can't be had.
  std::optional<std::string> Start();
  void Stop() { http_.Stop(); }

 private:
  struct Stored {
    std::string value;  // base64, as it came
    int64_t mod_revision = 0;
    int64_t lease = 0;
  };
  struct Faults {
    bool down = false;          // answers nothing but errors
    bool drop_answers = false;  // swaps take effect, the answer is lost
    absl::Duration delay;
  };

  using Handler = nlohmann::json (KvStandin::*)(const nlohmann::json&);
  void Register(const std::string& path, Handler handler);
  nlohmann::json Range(const nlohmann::json& in);
  nlohmann::json Txn(const nlohmann::json& in);
  nlohmann::json GrantLease(const nlohmann::json& in);
  nlohmann::json RangeLocked(const nlohmann::json& in)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ApplyLocked(const nlohmann::json& operation)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void ExpireLocked() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  nlohmann::json HeaderLocked() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  PoolServer http_;
  Mutex mutex_;
  std::map<std::string, Stored> data_ ABSL_GUARDED_BY(mutex_);
  std::map<int64_t, absl::Time> leases_ ABSL_GUARDED_BY(mutex_);
  Faults faults_ ABSL_GUARDED_BY(mutex_);
  int64_t revision_ ABSL_GUARDED_BY(mutex_) = 1;
  uint64_t reads_ ABSL_GUARDED_BY(mutex_) = 0;
  uint64_t writes_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_TOOLS_STANDIN_KV_STANDIN_H_
