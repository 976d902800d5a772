// In-process fakes of the platform.

#include "platform_standin.h"

#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"
#include "raw_peer.h"

namespace chervilwick {
namespace {

using Json = nlohmann::json;

std::string PercentDecode(const std::string& text) {
  std::string out;
  for (size_t it = 0; it < text.size(); ++it) {
    if (text[it] == '%' && it + 2 < text.size()) {
      out += absl::HexStringToBytes(text.substr(it + 1, 2));
      it += 2;
    } else {
      out += text[it];
    }
  }
  return out;
}

std::map<std::string, std::string> ParseQuery(const std::string& target) {
  std::map<std::string, std::string> query;
  size_t mark = target.find('?');
  if (mark == std::string::npos) return query;
  for (absl::string_view part :
       absl::StrSplit(target.substr(mark + 1), '&', absl::SkipEmpty())) {
    std::pair<std::string, std::string> pair =
        absl::StrSplit(part, absl::MaxSplits('=', 1));
    query[pair.first] = PercentDecode(pair.second);
  }
  return query;
}

uint64_t ParseUint(const std::string& text) {
  uint64_t value = 0;
  return absl::SimpleAtoi(text, &value) ? value : 0;
}

std::pair<uint64_t, uint64_t> ParseTokenCounts(const HttpRequest& request) {
  std::pair<std::string, std::string> counts =
      absl::StrSplit(request.head.Get("X-Token-Count"), ',');
  return {ParseUint(counts.first), ParseUint(counts.second)};
}

}  // namespace

PlatformStore::PlatformStore(EventLoop& loop)
    : loop_(loop),
      endpoint_(FreeEndpoint()),
      server_(
          loop,
          {[this](ExchangeId id, const Endpoint&, const HttpRequest& request) {
             OnRequest(id, request);
           },
           [this](ExchangeId id) {
             watches_.remove_if([id](const Watch& it) { return it.id == id; });
           }}) {
  server_.Listen(endpoint_);
}

void PlatformStore::Put(const std::string& key, const std::string& value) {
  PutWithoutNotify(key, value);
  NotifyWatches();
}

void PlatformStore::PutWithoutNotify(const std::string& key,
                                     const std::string& value) {
  state_.items[key] = {value, ++state_.revision, 0};
  state_.history.push_back({key, state_.revision, false});
}

void PlatformStore::Remove(const std::string& key) {
  state_.items.erase(key);
  state_.history.push_back({key, ++state_.revision, true});
  NotifyWatches();
}

void PlatformStore::CompactHistory() {
  state_.history.clear();
  state_.compacted_revision = state_.revision;
  for (Watch& it : watches_) Reply(it.id, 410, Json::object());
  watches_.clear();
}

void PlatformStore::KeepCopy() { copy_ = state_; }

void PlatformStore::ReturnFromCopy() {
  state_ = copy_;
  ++era_;
  std::list<Watch> cut = std::move(watches_);
  watches_.clear();
  for (const Watch& it : cut) server_.Abort(it.id);
}

void PlatformStore::Reply(ExchangeId id, int status, const Json& body) {
  server_.Respond(id, {status,
                       {{"Content-Type", "application/json"},
                        {"Store-Era", absl::StrCat(era_)}},
                       body.dump()});
}

void PlatformStore::OnRequest(ExchangeId id, const HttpRequest& request) {
  ++calls_;
  if (fault_ == Fault::kSilent) return;
  if (fault_ == Fault::kBusy) {
    Reply(id, 503, Json::object());
    return;
  }
  auto query = ParseQuery(request.head.target);
  std::string path =
      request.head.target.substr(0, request.head.target.find('?'));
  Json body = Json::parse(request.body, nullptr, false);
  if (path == "/chervilwick/kv-range") {
    HandleRange(id, query["prefix"]);
  } else if (path == "/chervilwick/kv-key") {
    HandleKey(id, query["key"]);
  } else if (path == "/chervilwick/kv-watch") {
    HandleWatch(id, ParseUint(query["after"]),
                absl::Milliseconds(ParseUint(query["wait_ms"])));
  } else if (path == "/chervilwick/kv-txn") {
    HandleTransaction(id, body);
  } else if (path == "/chervilwick/kv-lease") {
    state_.leases.insert(next_lease_);
    Reply(id, 200, {{"lease", next_lease_++}, {"ttl_ms", body["ttl_ms"]}});
  } else if (absl::StartsWith(path, "/chervilwick/kv-keep/")) {
    std::string lease = path.substr(path.rfind('/') + 1);
    if (state_.leases.count(ParseUint(lease)) == 0) {
      Reply(id, 404, Json::object());
      return;
    }
    held_renewals_.push_back(id);
    if (!holds_renewals_) AnswerRenewals(200);
  } else {
    Reply(id, 404, Json::object());
  }
}

void PlatformStore::AnswerRenewals(int status) {
  for (ExchangeId it : held_renewals_) Reply(it, status, Json::object());
  held_renewals_.clear();
  holds_renewals_ = false;
}

Json PlatformStore::ItemJson(const std::string& key) const {
  const Item& item = state_.items.at(key);
  return {{"key", key},
          {"value", absl::Base64Escape(item.value)},
          {"rev", item.revision},
          {"created", item.revision},
          {"lease", item.lease}};
}

void PlatformStore::HandleRange(ExchangeId id, const std::string& prefix) {
  Json items = Json::array();
  for (const auto& it : state_.items) {
    if (absl::StartsWith(it.first, prefix)) items.push_back(ItemJson(it.first));
  }
  Reply(id, 200,
        {{"items", items},
         {"has_more", false},
         {"current_rev", state_.revision}});
}

void PlatformStore::HandleKey(ExchangeId id, const std::string& key) {
  bool is_known = state_.items.count(key) != 0;
  Reply(id, is_known ? 200 : 404, is_known ? ItemJson(key) : Json::object());
}

void PlatformStore::HandleWatch(ExchangeId id, uint64_t after,
                                absl::Duration wait) {
  if (after < state_.compacted_revision || after > state_.revision) {
    Reply(id, 410, Json::object());
    return;
  }
  watches_.push_back({id, after, nullptr});
  Watch& watch = watches_.back();
  if (state_.revision > after) {
    AnswerWatch(watch);
    watches_.pop_back();
    return;
  }
  watch.timer = std::make_unique<Timer>(loop_, [this, id] {
    if (fault_ == Fault::kSilent) return;
    for (auto it = watches_.begin(); it != watches_.end(); ++it) {
      if (it->id != id) continue;
      AnswerWatch(*it);
      watches_.erase(it);
      return;
    }
  });
  watch.timer->Arm(wait);
}

void PlatformStore::AnswerWatch(Watch& watch) {
  Json events = Json::array();
  for (const Change& it : state_.history) {
    if (it.revision <= watch.after) continue;
    if (it.removed) {
      events.push_back(
          {{"key", it.key}, {"rev", it.revision}, {"removed", true}});
    } else if (state_.items.count(it.key) != 0) {
      events.push_back(ItemJson(it.key));
    }
  }
  Reply(watch.id, 200, {{"events", events}, {"current_rev", state_.revision}});
}

void PlatformStore::NotifyWatches() {
  if (fault_ != Fault::kNone) return;
  std::list<Watch> waiting = std::move(watches_);
  watches_.clear();
  for (Watch& it : waiting) AnswerWatch(it);
}

void PlatformStore::HandleTransaction(ExchangeId id, const Json& body) {
  for (const Json& it : body["expected"]) {
    auto item = state_.items.find(it["key"].get<std::string>());
    uint64_t revision = item == state_.items.end() ? 0 : item->second.revision;
    if (revision != it["rev"].get<uint64_t>()) {
      Reply(id, 412, {{"items", Json::array()}});
      return;
    }
  }
  for (const Json& it : body["set_keys"]) {
    if (state_.leases.count(it.value("lease", uint64_t{0})) == 0) {
      Reply(id, 404, Json::object());
      return;
    }
  }
  for (const Json& it : body["set_keys"]) {
    std::string value;
    absl::Base64Unescape(it["value"].get<std::string>(), &value);
    Put(it["key"].get<std::string>(), value);
  }
  Reply(id, 200, {{"rev", state_.revision}});
}

PlatformEngine::PlatformEngine(EventLoop& loop, Options options)
    : loop_(loop),
      options_(std::move(options)),
      endpoint_(FreeEndpoint()),
      server_(loop,
              {[this](ExchangeId id, const Endpoint&, HttpRequest request) {
                 OnRequest(id, std::move(request));
               },
               [this](ExchangeId id) {
                 auto it = streams_.find(id);
                 if (it == streams_.end()) return;
                 runs_[it->second.run].cancelled = true;
                 EndStream(id);
               }}) {
  server_.Listen(endpoint_);
}

std::string PlatformEngine::Entry(const std::string& state) const {
  Json entry = {{"service", options_.service},
                {"addr", endpoint_.ToString()},
                {"zone", options_.zone},
                {"version", options_.version},
                {"slots", 16},
                {"state", state},
                {"cold_left_ms", 0},
                {"seq", 1},
                {"born", Born()}};
  if (!options_.stage.empty()) entry["stage"] = options_.stage;
  return entry.dump();
}

void PlatformEngine::SetFault(Fault fault, int count) {
  fault_ = fault;
  fault_count_ = count;
}

PlatformEngine::Fault PlatformEngine::ConsumeFault() {
  if (fault_count_ == 0) return Fault::kNone;
  --fault_count_;
  return fault_;
}

HttpField PlatformEngine::ExtraAnswer(int status) {
  ++extra_answers_;
  return {"X-Request-Id",
          absl::StrCat("another-", extra_answers_,
                       "\r\nX-Response-Stamp: another\r\n"
                       "Content-Length: 7\r\n\r\nforeignHTTP/1.1 ",
                       status, " Proper")};
}

std::vector<HttpField> PlatformEngine::ResponseFields(
    const HttpRequest& request, bool stamp, int status) {
  std::vector<HttpField> fields;
  if (std::exchange(sends_extra_, false)) fields.push_back(ExtraAnswer(status));
  fields.push_back({"X-Request-Id", request.head.Get("X-Request-Id")});
  fields.push_back({"X-Server-Load", "1,0,16,100"});
  if (stamp) fields.push_back({"X-Response-Stamp", options_.id});
  if (leaving_) fields.push_back({"Server-Leaving", "1"});
  return fields;
}

void PlatformEngine::Refuse(ExchangeId id, const HttpRequest& request,
                            int status) {
  ++refusals_;
  std::vector<HttpField> fields = ResponseFields(request, false, status);
  if (status == 503) fields.push_back({"X-Not-Run", "1"});
  if (status == 503 && !retry_after_.empty()) {
    fields.push_back({"Retry-After", retry_after_});
  }
  server_.Respond(id, {status, fields, ""});
}

void PlatformEngine::RunAfter(absl::Duration delay,
                              std::function<void()> action) {
  timers_.push_back(std::make_unique<Timer>(loop_, std::move(action)));
  timers_.back()->Arm(delay);
}

void PlatformEngine::CrashOnTarget(std::string target, CrashMode sign,
                                   absl::Duration down,
                                   std::function<void()> on_back) {
  CrashOn(
      [target = std::move(target)](const HttpRequest& request) {
        return request.head.target == target;
      },
      sign, down, std::move(on_back));
}

void PlatformEngine::CrashOn(Condition condition, CrashMode sign,
                             absl::Duration down,
                             std::function<void()> on_back) {
  crash_condition_ = std::move(condition);
  crash_mode_ = sign;
  crash_down_ = down;
  on_back_ = std::move(on_back);
}

void PlatformEngine::Crash() {
  ++crashes_;
  is_down_ = true;
  auto abort_all = [this] {
    for (ExchangeId it : open_) {
      server_.Abort(it);
      EndStream(it);
    }
    open_.clear();
    server_.CloseIdle();
  };
  if (crash_mode_ == CrashMode::kClosed) {
    server_.StopListening();
    RunAfter(absl::ZeroDuration(), abort_all);
  }
  RunAfter(crash_down_, [this] {
    if (crash_mode_ == CrashMode::kClosed) server_.Listen(endpoint_);
    // Requests received while unresponsive are never answered.
    open_.clear();
    is_down_ = false;
    on_back_();
  });
}

void PlatformEngine::Restart(absl::Duration down,
                             std::function<void()> on_back) {
  crash_mode_ = CrashMode::kClosed;
  crash_down_ = down;
  on_back_ = std::move(on_back);
  Crash();
}

void PlatformEngine::Report(ExchangeId id) {
  ++reports_;
  if (!answers_reports_) return;
  Json body = {{"stage", options_.stage}, {"born", Born()}};
  server_.Respond(id, {200, {}, body.dump()});
}

void PlatformEngine::OnRequest(ExchangeId id, HttpRequest request) {
  open_.insert(id);
  if (is_down_) return;
  if (request.head.target == "/chervilwick/report") {
    Report(id);
    return;
  }
  if (request.head.target == "/chervilwick/order") {
    orders.push_back(Json::parse(request.body, nullptr, false));
    server_.Respond(id, {202, {}, ""});
    return;
  }
  if (request.head.target == "/chervilwick/hold-take") {
    ReservePlace(id, request);
    return;
  }
  absl::string_view target = request.head.target;
  if (absl::ConsumePrefix(&target, "/chervilwick/hold-drop/")) {
    dropped_reservations_ +=
        static_cast<int>(reserved_tokens_.erase(absl::StrCat(target)));
  }
  if (absl::StartsWith(request.head.target, "/chervilwick/")) {
    server_.Respond(id, {200, {}, "{}"});
    return;
  }
  if (request.head.Get("X-Expect-Instance") != options_.id) {
    Refuse(id, request, 421);
    return;
  }
  Fault fault = ConsumeFault();
  sends_extra_ = fault == Fault::kMismatchedResponse;
  bool crashes =
      fault == Fault::kNone && crash_condition_ && crash_condition_(request);
  if (crashes) {
    Crash();
  } else if (fault == Fault::kRefuse) {
    Refuse(id, request, 503);
  } else if (fault == Fault::kNeverRespond) {
    if (request.head.Get("X-Stage") == "prefill") return;
    runs_.push_back(
        {request.head.Get("X-Request-Id"), "", false, false, options_.version});
  } else if (options_.stage.empty()) {
    RunPlain(id, request, fault);
  } else if (request.head.Get("X-Stage") == "prefill") {
    if (fault == Fault::kLoseResponse) {
      server_.Abort(id);
    } else {
      RunPrefill(id, request);
    }
  } else {
    StartDecode(id, std::move(request), fault);
  }
}

uint64_t PlatformEngine::TakenTokens() const {
  uint64_t tokens = used_tokens_;
  for (const auto& it : reserved_tokens_) tokens += it.second;
  return tokens;
}

void PlatformEngine::ReservePlace(ExchangeId id, const HttpRequest& request) {
  Json body = Json::parse(request.body);
  auto tokens = body["tokens"].get<uint64_t>();
  bool is_full = TakenTokens() + tokens > options_.memory_tokens;
  if (reservation_fault_ == ReservationFault::kNeverRespond) return;
  if (reservation_fault_ == ReservationFault::kAbort) {
    server_.Abort(id);
    return;
  }
  if (is_full || reservation_fault_ == ReservationFault::kRefuse) {
    server_.Respond(id, {503, {}, ""});
    return;
  }
  std::string name = absl::StrCat("hold", ++reservations_);
  reserved_tokens_[name] = tokens;
  server_.Respond(id, {200, {}, Json({{"hold", name}}).dump()});
}

void PlatformEngine::RunPrefill(ExchangeId id, const HttpRequest& request) {
  ++prefills_;
  uint64_t tokens = ParseTokenCounts(request).first;
  std::vector<HttpField> fields = ResponseFields(request, false);
  Json body = {{"handle", absl::StrCat("h", prefills_)},
               {"tokens", tokens},
               {"version", 1}};
  RunAfter(absl::Milliseconds(static_cast<double>(tokens) /
                              options_.prompt_tokens_per_ms),
           [this, id, fields, body] {
             server_.Respond(id, {200, fields, body.dump()});
           });
}

void PlatformEngine::RunPlain(ExchangeId id, const HttpRequest& request,
                              Fault fault) {
  runs_.push_back(
      {request.head.Get("X-Request-Id"), "", false, true, options_.version});
  if (fault == Fault::kLoseResponse) {
    server_.Abort(id);
    return;
  }
  HttpResponse response{fault == Fault::kFail ? 500 : 200,
                        ResponseFields(request, fault != Fault::kNoStamp),
                        "answer of " + options_.id};
  uint64_t ms = ParseUint(ParseQuery(request.head.target)["ms"]);
  RunAfter(ms == 0 ? options_.plain_time : absl::Milliseconds(ms),
           [this, id, response] { server_.Respond(id, response); });
}

void PlatformEngine::StartDecode(ExchangeId id, HttpRequest request,
                                 Fault fault) {
  uint64_t tokens = ParseTokenCounts(request).first;
  reserved_tokens_.erase(request.head.Get("X-Kv-Hold"));
  if (TakenTokens() + tokens > options_.memory_tokens) {
    Refuse(id, request, 503);
    return;
  }
  runs_.push_back({request.head.Get("X-Request-Id"),
                   request.head.Get("Last-Event-Id"), false, false,
                   options_.version});
  if (fault == Fault::kLoseResponse) {
    server_.Abort(id);
    return;
  }
  used_tokens_ += tokens;
  Stream& stream = streams_[id];
  stream.run = runs_.size() - 1;
  stream.next =
      static_cast<uint32_t>(ParseUint(request.head.Get("Last-Event-Id"))) + 1;
  uint64_t events = ParseUint(ParseQuery(request.head.target)["events"]);
  stream.events = events == 0 ? options_.events : static_cast<uint32_t>(events);
  stream.tokens = tokens;
  stream.aborts = fault == Fault::kAbortStream;
  stream.request = std::move(request);
  stream.timer =
      std::make_unique<Timer>(loop_, [this, id] { SendNextEvent(id); });
  std::vector<HttpField> fields = ResponseFields(stream.request, true);
  fields.push_back({"Content-Type", "text/event-stream"});
  server_.BeginStream(id, 200, fields);
  stream.timer->Arm(options_.event_time);
}

void PlatformEngine::SendNextEvent(ExchangeId id) {
  Stream& stream = streams_[id];
  if (stream.aborts && stream.next > stream.events / 2) {
    // Aborts in the middle of an event.
    server_.SendStream(id, absl::StrCat("id: ", stream.next, "\nda"));
    RunAfter(absl::Milliseconds(5), [this, id] {
      server_.Abort(id);
      EndStream(id);
    });
    return;
  }
  std::string mark = marks_events_ ? options_.version + " " : "";
  server_.SendStream(id, absl::StrCat("id: ", stream.next, "\ndata: ", mark,
                                      "e", stream.next, "\n\n"));
  if (stream.next++ < stream.events) {
    stream.timer->Arm(options_.event_time);
    return;
  }
  runs_[stream.run].finished = true;
  server_.EndStream(id);
  EndStream(id);
}

void PlatformEngine::EndStream(ExchangeId id) {
  auto it = streams_.find(id);
  if (it == streams_.end()) return;
  used_tokens_ -= it->second.tokens;
  // This may run inside the timer's callback, so the timer must outlive it.
  timers_.push_back(std::move(it->second.timer));
  timers_.back()->Cancel();
  streams_.erase(it);
}

}  // namespace chervilwick
