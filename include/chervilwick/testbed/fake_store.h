// Fake of the key-value service in memory.

#ifndef CHERVILWICK_TESTBED_FAKE_STORE_H_
#define CHERVILWICK_TESTBED_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <string>

#include "chervilwick/store/kv.h"

namespace chervilwick {

class FakeStore {
 public:
  // Performs a call and returns its reply.
  KvReply Perform(const KvCall& call);
  const std::map<std::string, KvValue>& data() const { return data_; }
  uint64_t reads() const { return reads_; }
  uint64_t writes() const { return writes_; }

 private:
  void Read(const KvRange& range, KvReply& reply);
  void Swap(const KvTxn& txn, KvReply& reply);

  std::map<std::string, KvValue> data_;
  int64_t revision_ = 1;
  uint64_t reads_ = 0;
  uint64_t writes_ = 0;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_TESTBED_FAKE_STORE_H_
