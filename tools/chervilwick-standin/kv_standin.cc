// Stand-in for the key-value service.

#include "kv_standin.h"

#include <algorithm>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace chervilwick {
namespace {

using nlohmann::json;

constexpr size_t kThreads = 128;
constexpr absl::Duration kDroppedAnswerDelay = absl::Seconds(4);
constexpr char kJson[] = "application/json";

std::string Key(const json& in, const char* member) {
  std::string out;
  absl::Base64Unescape(in.value(member, ""), &out);
  return out;
}

int64_t Number(const json& in, const char* member) {
  int64_t value = 0;
  if (!absl::SimpleAtoi(in.value(member, "0"), &value)) return 0;
  return value;
}

}  // namespace

KvStandin::KvStandin(const std::string& address)
    : http_(PoolServerOptions{address, kThreads}) {
  Register("/v3/kv/range", &KvStandin::Range);
  Register("/v3/kv/txn", &KvStandin::Txn);
  Register("/v3/lease/grant", &KvStandin::GrantLease);
  http_.server().Post("/admin/faults", [this](const httplib::Request& req,
                                              httplib::Response& res) {
    json in = json::parse(req.body, nullptr, false);
    MutexLock lock(&mutex_);
    faults_.down = in.value("down", false);
    faults_.drop_answers = in.value("drop_answers", false);
    faults_.delay = absl::Milliseconds(in.value("delay_ms", 0));
    res.set_content("{}", kJson);
  });
  http_.server().Get("/admin/stats",
                     [this](const httplib::Request&, httplib::Response& res) {
                       MutexLock lock(&mutex_);
                       json out = {{"reads", reads_},
                                   {"writes", writes_},
                                   {"keys", data_.size()},
                                   {"revision", revision_}};
                       res.set_content(out.dump(), kJson);
                     });
}

std::optional<std::string> KvStandin::Start() {
  if (auto problem = http_.Bind()) return problem;
  http_.Start();
  return std::nullopt;
}

void KvStandin::Register(const std::string& path, Handler handler) {
  http_.server().Post(path, [this, handler](const httplib::Request& req,
                                            httplib::Response& res) {
    Faults faults;
    {
      MutexLock lock(&mutex_);
      faults = faults_;
    }
    absl::SleepFor(faults.delay);
    json in = json::parse(req.body, nullptr, false);
    if (faults.down || !in.is_object()) {
      res.status = faults.down ? 503 : 400;
      return;
    }
    json out = (this->*handler)(in);
    bool writes = handler == &KvStandin::Txn;
    if (faults.drop_answers && writes) {
      absl::SleepFor(kDroppedAnswerDelay);
      res.status = 503;
      return;
    }
    res.set_content(out.dump(), kJson);
  });
}

json KvStandin::HeaderLocked() const {
  return {{"revision", absl::StrCat(revision_)}};
}

void KvStandin::ExpireLocked() {
  absl::Time now = absl::Now();
  for (auto it = data_.begin(); it != data_.end();) {
    auto lease = leases_.find(it->second.lease);
    bool expired = it->second.lease != 0 &&
                   (lease == leases_.end() || now > lease->second);
    it = expired ? data_.erase(it) : std::next(it);
  }
}

json KvStandin::RangeLocked(const json& in) {
  std::string key = Key(in, "key");
  std::string end = Key(in, "range_end");
  json kvs = json::array();
  auto first = data_.lower_bound(key);
  auto last = end.empty() ? data_.upper_bound(key) : data_.lower_bound(end);
  for (auto it = first; it != last; ++it) {
    kvs.push_back({{"key", absl::Base64Escape(it->first)},
                   {"value", it->second.value},
                   {"mod_revision", absl::StrCat(it->second.mod_revision)}});
  }
  json out = {{"header", HeaderLocked()}};
  if (!kvs.empty()) out["kvs"] = std::move(kvs);
  return out;
}

json KvStandin::Range(const json& in) {
  MutexLock lock(&mutex_);
  ++reads_;
  ExpireLocked();
  return RangeLocked(in);
}

void KvStandin::ApplyLocked(const json& operation) {
  if (operation.contains("request_put")) {
    const json& put = operation["request_put"];
    Stored& stored = data_[Key(put, "key")];
    stored.value = put.value("value", "");
    stored.mod_revision = revision_;
    stored.lease = Number(put, "lease");
  }
  if (operation.contains("request_delete_range")) {
    const json& range = operation["request_delete_range"];
    data_.erase(data_.lower_bound(Key(range, "key")),
                data_.lower_bound(Key(range, "range_end")));
  }
}

json KvStandin::Txn(const json& in) {
  MutexLock lock(&mutex_);
  ++writes_;
  ExpireLocked();
  bool holds = true;
  for (const json& it : in.value("compare", json::array())) {
    auto stored = data_.find(Key(it, "key"));
    int64_t actual = stored == data_.end() ? 0 : stored->second.mod_revision;
    holds &= actual == Number(it, "mod_revision");
  }
  json responses = json::array();
  if (holds) {
    ++revision_;
    for (const json& it : in.value("success", json::array())) ApplyLocked(it);
  } else {
    for (const json& it : in.value("failure", json::array())) {
      responses.push_back(
          {{"response_range", RangeLocked(it["request_range"])}});
    }
  }
  return {{"header", HeaderLocked()},
          {"succeeded", holds},
          {"responses", std::move(responses)}};
}

json KvStandin::GrantLease(const json& in) {
  MutexLock lock(&mutex_);
  ++writes_;
  int64_t id = ++revision_;
  leases_[id] = absl::Now() + absl::Seconds(Number(in, "TTL"));
  return {{"header", HeaderLocked()},
          {"ID", absl::StrCat(id)},
          {"TTL", in.value("TTL", "0")}};
}

}  // namespace chervilwick
