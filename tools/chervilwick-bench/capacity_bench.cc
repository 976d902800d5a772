// Slopes of the cores' costs.

#include "capacity_bench.h"

#include <malloc.h>

#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "chervilwick/agent/agent_core.h"
#include "chervilwick/config/merge_patch.h"
#include "chervilwick/entry/entry_core.h"
#include "chervilwick/membership/subset.h"
#include "chervilwick/support/hash.h"
#include "chervilwick/wire/codec.h"

namespace chervilwick {
namespace {

// One measured point: size, cost.
struct Point {
  double size = 0;
  double cost = 0;
};

// Least-squares line through the points.
struct Line {
  double intercept = 0;
  double slope = 0;
  double r2 = 0;
};

Line Fit(const std::vector<Point>& points) {
  double n = static_cast<double>(points.size());
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  double syy = 0;
  for (const Point& it : points) {
    sx += it.size;
    sy += it.cost;
    sxx += it.size * it.size;
    sxy += it.size * it.cost;
    syy += it.cost * it.cost;
  }
  Line line;
  line.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  line.intercept = (sy - line.slope * sx) / n;
  double explained = n * sxy - sx * sy;
  double total = (n * sxx - sx * sx) * (n * syy - sy * sy);
  line.r2 = total > 0 ? explained * explained / total : 1;
  return line;
}

void Report(const std::string& name, const std::string& unit,
            const std::vector<Point>& points) {
  std::printf("%s\n", name.c_str());
  for (const Point& it : points) {
    std::printf("  %10.0f -> %14.2f %s\n", it.size, it.cost, unit.c_str());
  }
  Line line = Fit(points);
  std::printf("  slope %.4f %s each, intercept %.2f, r2 %.4f\n", line.slope,
              unit.c_str(), line.intercept, line.r2);
}

double UsedBytes() { return static_cast<double>(mallinfo2().uordblks); }

double MicrosecondsOf(const std::function<void()>& work) {
  absl::Time begin = absl::Now();
  work();
  return absl::ToDoubleMicroseconds(absl::Now() - begin);
}

std::string ServerName(int n) { return absl::StrCat("server-", n); }

std::string ContentFor(int servers) {
  std::string prefill;
  std::string decode;
  for (int it = 0; it < servers; ++it) {
    std::string& list = it % 2 == 0 ? prefill : decode;
    absl::StrAppend(&list, list.empty() ? "" : ",", "\"", ServerName(it),
                    "\":{}");
  }
  return absl::StrCat(
      R"({"pools":{"p":{"role":"prefill","model":"m","weights":"w","servers":{)",
      prefill,
      R"(}},"d":{"role":"decode","model":"m","weights":"w","servers":{)",
      decode, R"(}}},"models":{"m":{"deadline":"10m","first_token_target":"10m",
      "routes":{"r":{"prefill":"p","decode":"d","share":1}}}}})");
}

// An entry with a number of live backend servers around it.
class EntryFixture {
 public:
  explicit EntryFixture(int servers) : core_(Options()) {
    VersionRecord record;
    record.number = VersionNumber(1);
    record.content = *ApplyMergePatch("{}", ContentFor(servers));
    record.content_hash = StableHash(record.content);
    ConfigPush push;
    push.records.items.push_back(record);
    Receive(NodeName("peer"), push);
    std::vector<HostRecord> hosts;
    for (int it = 0; it < servers; ++it) {
      std::string name = absl::StrCat("agent-", it);
      hosts.push_back({NodeName(name), NodeRole::kAgent, ZoneName("z"), name,
                       BackendName(ServerName(it)), false});
    }
    core_.Handle(HostListRead{hosts}, now_);
    for (int it = 0; it < servers; ++it) Hear(it);
  }

  static EntryOptions Options() {
    EntryOptions options;
    options.name = NodeName("entry");
    options.incarnation = Incarnation(1);
    options.zone = ZoneName("z");
    options.subset_size = 100000;
    return options;
  }

  std::vector<EntryAction> Receive(const NodeName& from, Message message) {
    Envelope envelope{from, Incarnation(2), VersionNumber(1),
                      std::move(message)};
    return core_.Handle(EntryMessageReceived{std::move(envelope)}, now_);
  }

  void Hear(int server) {
    NodeName agent(absl::StrCat("agent-", server));
    Hello hello;
    hello.role = NodeRole::kAgent;
    hello.zone = ZoneName("z");
    hello.backend = BackendName(ServerName(server));
    Receive(agent, hello);
    Heartbeat heartbeat;
    LoadReport load;
    load.places_total = 1000000;
    load.pieces_total = 1000000;
    load.token_us = 25000;
    load.prefill_ns_per_token = 100;
    load.ready = true;
    heartbeat.load = load;
    Receive(agent, heartbeat);
  }

  // Opens a stream and takes it to decoding.
  void OpenStream(uint64_t number) {
    ClientStream ask;
    ask.id = RequestId(number);
    ask.client = ClientName(absl::StrCat("client-", number % 1000));
    ask.model = ModelName("m");
    ask.prompt = std::string(2000, 'x');
    ask.prompt_tokens = 500;
    ask.max_tokens = 200;
    Follow(core_.Handle(ask, now_));
  }

  void Follow(const std::vector<EntryAction>& actions) {
    for (const EntryAction& it : actions) {
      const auto* sent = std::get_if<SendToPeer>(&it);
      if (sent == nullptr) continue;
      if (const auto* reserve = std::get_if<Reserve>(&sent->message)) {
        Reserved reserved;
        reserved.attempt = reserve->attempt;
        reserved.load = Load();
        Follow(Receive(sent->to, reserved));
      }
      const auto* start = std::get_if<StartWork>(&sent->message);
      if (start == nullptr) continue;
      if (start->kind == WorkKind::kDecode) {
        decodes_.push_back({sent->to, start->attempt, 0});
        continue;
      }
      Done done;
      done.attempt = start->attempt;
      done.load = Load();
      Follow(Receive(sent->to, done));
    }
  }

  static LoadReport Load() {
    LoadReport load;
    load.places_total = 1000000;
    load.pieces_total = 1000000;
    load.token_us = 25000;
    load.prefill_ns_per_token = 100;
    load.ready = true;
    return load;
  }

  void TokenForAll() {
    for (Decode& it : decodes_) {
      Piece piece;
      piece.attempt = it.attempt;
      piece.offset = it.offset++;
      piece.tokens.items.push_back(" word");
      Receive(it.agent, piece);
    }
  }

  size_t Tick() { return core_.Handle(EntryTick{}, now_).size(); }
  void Advance(absl::Duration duration) { now_ += duration; }
  size_t decodes() const { return decodes_.size(); }

 private:
  struct Decode {
    NodeName agent;
    AttemptId attempt;
    uint32_t offset = 0;
  };

  EntryCore core_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  std::vector<Decode> decodes_;
};

constexpr int kSubset = 48;
constexpr int kTicks = 100;  // one second of them
constexpr int kDecisions = 2000;

void MeasureStreams() {
  std::vector<Point> memory;
  std::vector<Point> token_time;
  std::vector<Point> open_time;
  std::vector<Point> tick_time;
  for (int streams : {100, 400, 1000, 2000}) {
    auto entry = std::make_unique<EntryFixture>(kSubset);
    double before = UsedBytes();
    double opening = MicrosecondsOf([&] {
      for (int it = 1; it <= streams; ++it) entry->OpenStream(it);
    });
    double n = static_cast<double>(streams);
    memory.push_back({n, (UsedBytes() - before) / 1024});
    open_time.push_back({n, opening});
    token_time.push_back({n, MicrosecondsOf([&] { entry->TokenForAll(); })});
    double ticking = MicrosecondsOf([&] {
      for (int it = 0; it < kTicks; ++it) {
        entry->Advance(absl::Milliseconds(10));
        entry->Tick();
      }
    });
    tick_time.push_back({n, ticking});
  }
  Report("entry: memory of open streams (2 KB prompts)", "KiB", memory);
  Report("entry: time to open a stream, all decisions and messages", "us",
         open_time);
  Report("entry: time of one token, message to client", "us", token_time);
  Report("entry: time of one second of ticks, by open streams", "us",
         tick_time);
}

void MeasureBackends() {
  std::vector<Point> memory;
  std::vector<Point> decision;
  std::vector<Point> heartbeat;
  for (int servers : {12, 24, 48, 96}) {
    double before = UsedBytes();
    auto entry = std::make_unique<EntryFixture>(servers);
    double n = static_cast<double>(servers);
    memory.push_back({n, (UsedBytes() - before) / 1024});
    double opening = MicrosecondsOf([&] {
      for (int it = 1; it <= kDecisions; ++it) entry->OpenStream(it);
    });
    decision.push_back({n, opening / kDecisions});
    heartbeat.push_back({n, MicrosecondsOf([&] {
                           for (int it = 0; it < servers; ++it) {
                             entry->Hear(it);
                           }
                         })});
  }
  Report("entry: memory of backend servers in its subset", "KiB", memory);
  Report("entry: time per request, by backend servers in its subset", "us",
         decision);
  Report("entry: time of a heartbeat round", "us", heartbeat);
}

void MeasureConfig() {
  std::vector<Point> bytes;
  std::vector<Point> apply;
  std::vector<Point> memory;
  std::vector<Point> delta;
  for (int servers : {1000, 4000, 12000}) {
    double n = static_cast<double>(servers);
    std::string content = *ApplyMergePatch("{}", ContentFor(servers));
    bytes.push_back({n, static_cast<double>(content.size()) / 1024});
    double before = UsedBytes();
    auto replica = std::make_unique<ConfigReplica>();
    VersionRecord record;
    record.number = VersionNumber(1);
    record.content = content;
    record.content_hash = StableHash(content);
    replica->Apply(record, absl::UnixEpoch());
    memory.push_back({n, (UsedBytes() - before) / 1024});
    std::string patch =
        R"({"pools":{"p":{"servers":{"server-0":{"drained":true}}}}})";
    VersionRecord change;
    change.number = VersionNumber(2);
    change.patch_id = PatchId("0123456789abcdef");
    change.author = "operator";
    change.reason = "drain of a server";
    change.patch = patch;
    change.content_hash = StableHash(*ApplyMergePatch(content, patch));
    apply.push_back({n, MicrosecondsOf([&] {
                       replica->Apply(change, absl::UnixEpoch());
                     })});
    ConfigPush push;
    push.base = VersionNumber(1);
    push.records.items.push_back(change);
    Envelope envelope{NodeName("entry-000"), Incarnation(1), VersionNumber(2),
                      push};
    delta.push_back({n, static_cast<double>(EncodeFrame(envelope).size())});
  }
  Report("config: size of the content, by servers", "KiB", bytes);
  Report("config: memory of a replica, by servers", "KiB", memory);
  Report("config: time to apply a delta, by servers", "us", apply);
  Report("config: bytes of a delta on the wire, by servers", "bytes", delta);
}

void MeasureMessages() {
  std::vector<Point> heartbeat;
  for (int active : {0, 8, 32, 128}) {
    Heartbeat message;
    for (int it = 0; it < active; ++it) {
      message.active.items.push_back(
          {Incarnation(1), static_cast<uint64_t>(it)});
    }
    Envelope envelope{NodeName("entry-000"), Incarnation(1), VersionNumber(2),
                      message};
    heartbeat.push_back({static_cast<double>(active),
                         static_cast<double>(EncodeFrame(envelope).size())});
  }
  Report("wire: bytes of an entry's heartbeat, by attempts renewed", "bytes",
         heartbeat);
  Heartbeat load;
  load.load = LoadReport{};
  Envelope envelope{NodeName("agent-000"), Incarnation(1), VersionNumber(2),
                    load};
  std::printf("wire: bytes of an agent's heartbeat: %zu\n",
              EncodeFrame(envelope).size());
  Piece piece;
  piece.tokens.items.push_back(" token");
  envelope.message = piece;
  std::printf("wire: bytes of a token: %zu\n", EncodeFrame(envelope).size());
}

void MeasureHostList() {
  std::vector<Point> time;
  for (int agents : {1000, 4000, 12000}) {
    std::vector<HostRecord> hosts;
    for (int it = 0; it < agents; ++it) {
      std::string name = absl::StrCat("agent-", it);
      hosts.push_back({NodeName(name), NodeRole::kAgent,
                       ZoneName(absl::StrCat("z", it % 12)), name,
                       BackendName(ServerName(it)), false});
    }
    for (int it = 0; it < agents / 20; ++it) {
      std::string name = absl::StrCat("entry-", it);
      hosts.push_back({NodeName(name), NodeRole::kEntry,
                       ZoneName(absl::StrCat("z", it % 12)), name,
                       BackendName(""), false});
    }
    EntryCore entry(EntryFixture::Options());
    time.push_back({static_cast<double>(agents), MicrosecondsOf([&] {
                      entry.Handle(HostListRead{hosts}, absl::UnixEpoch());
                    })});
  }
  Report("entry: time to take the host list, by agents", "us", time);
}

}  // namespace

int RunCapacityBench() {
  MeasureStreams();
  MeasureBackends();
  MeasureConfig();
  MeasureMessages();
  MeasureHostList();
  return 0;
}

}  // namespace chervilwick
