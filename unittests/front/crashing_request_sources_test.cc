// Guards against a crashing request whose repeats differ in everything but the
// work that they ask for: the client's address and connection, the request id,
// the deadline and the framing of the body.

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <utility>

#include "absl/strings/match.h"
#include "crash_deployment.h"
#include "raw_peer.h"

namespace chervilwick {
namespace {

constexpr uint32_t kFirstSource = 0x7f000a01;  // 127.0.10.1
constexpr int kSources = 12;
constexpr char kDeadlyBody[] = "deadly";
constexpr absl::Duration kAnswerTime = absl::Seconds(4);
constexpr int kLate = 8;    // requests once all fronts know of the crashes
constexpr int kMost = 60;   // requests until a sound one is cleared
constexpr int kAfter = 12;  // and after that

struct WorkClass {
  std::string name;
  std::string method;
  std::string target;
  std::string sound_target;  // of the same route
};

WorkClass LookupClass() {
  return {"lookup", "GET", "/check/a?page=20", "/check/a?page="};
}
WorkClass BookingClass() { return {"booking", "POST", "/book/a", "/book/a"}; }
WorkClass StreamClass() { return {"stream", "POST", "/note/a", "/note/a"}; }

bool IsDeadly(const WorkClass& work, const HttpRequest& request) {
  if (request.head.target != work.target) return false;
  return work.method == "GET" || request.body == kDeadlyBody;
}

// Clients at several addresses, each with a kept connection to each front that
// some of its requests use.
class Clients {
 public:
  Clients(CrashDeployment& fleet, const WorkClass& work, uint32_t seed)
      : fleet_(fleet), work_(work), random_(seed) {}
  ~Clients() {
    for (const auto& it : kept_) close(it.second);
  }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  // An open request: its connection and where to keep that afterwards.
  struct Open {
    int socket = -1;
    std::pair<int, int> place;
  };

  Open Begin(const std::string& target, const std::string& body = "") {
    // No two requests in a row come from one address or to one front.
    next_source_ = (next_source_ + Pick(1, kSources - 1)) % kSources;
    next_front_ = (next_front_ + Pick(1, kFronts - 1)) % kFronts;
    auto place = std::make_pair(next_source_, next_front_);
    auto kept = kept_.find(place);
    int socket = -1;
    if (kept != kept_.end()) {
      socket = kept->second;
      kept_.erase(kept);
    }
    // The front may have closed it when it was idle for long.
    if (socket >= 0 && CrashDeployment::IsClosed(socket)) {
      close(socket);
      socket = -1;
    }
    if (socket < 0) {
      socket = ConnectRaw(*Endpoint::Parse(fleet_.FrontAddress(next_front_)),
                          kFirstSource + static_cast<uint32_t>(next_source_));
    }
    REQUIRE(socket >= 0);
    std::string bytes = Framed(target, body);
    REQUIRE(send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(bytes.size()));
    return {socket, place};
  }

  // Returns the status of the answer; 0 if there is none.
  int Finish(const Open& open) {
    std::string answer = fleet_.ReadAnswer(open.socket, kAnswerTime);
    bool is_whole = absl::StartsWith(answer, "HTTP/1.1 ");
    if (is_whole && Pick(0, 1) == 0) {
      kept_[open.place] = open.socket;
    } else {
      close(open.socket);
    }
    int status = 0;
    if (is_whole) (void)absl::SimpleAtoi(answer.substr(9, 3), &status);
    return status;
  }

  int Send(const std::string& target, const std::string& body = "") {
    return Finish(Begin(target, body));
  }
  int SendDeadly() { return Send(work_.target, kDeadlyBody); }
  int SendSound() {
    std::string number = absl::StrCat(++sound_);
    bool is_lookup = work_.method == "GET";
    return Send(is_lookup ? work_.sound_target + number : work_.sound_target,
                "sound " + number);
  }
  int Pick(int first, int last) {
    return std::uniform_int_distribution<>(first, last)(random_);
  }

 private:
  std::string Framed(const std::string& target, const std::string& body) {
    std::string head =
        absl::StrCat(work_.method, " ", target, " HTTP/1.1\r\nHost: ", Host(),
                     "\r\nX-Request-Id: r", ++requests_, "-", Pick(0, 1 << 30),
                     "\r\nX-Deadline-Ms: ", Pick(1200, 2500),
                     "\r\nX-Token-Count: 320,", Pick(10, 90), "\r\n");
    if (work_.method == "GET") return head + "\r\n";
    if (Pick(0, 1) == 0) {
      return absl::StrCat(head, "Content-Length: ", body.size(), "\r\n\r\n",
                          body);
    }
    return absl::StrCat(head, "Transfer-Encoding: chunked\r\n\r\n1\r\n",
                        body.substr(0, 1), "\r\n", body.size() - 1, "\r\n",
                        body.substr(1), "\r\n0\r\n\r\n");
  }

  std::string Host() {
    const char* hosts[] = {"h", "H", "h:80"};
    return hosts[Pick(0, 2)];
  }

  CrashDeployment& fleet_;
  WorkClass work_;
  std::mt19937 random_;
  std::map<std::pair<int, int>, int> kept_;  // by address and front
  int requests_ = 0;
  int sound_ = 0;
  int next_source_ = 0;
  int next_front_ = 0;
};

TEST_CASE(
    "a request that crashes servers is quarantined when its repeats come from "
    "different addresses and connections",
    "[front][crash][sources]") {
  uint32_t seed = GENERATE(1U, 2U);
  int servers = seed == 1 ? 3 : kServers;
  WorkClass work = GENERATE(LookupClass(), BookingClass(), StreamClass());
  CAPTURE(seed, servers, work.name);
  CrashDeployment fleet(
      [work](const HttpRequest& it) { return IsDeadly(work, it); }, work.target,
      CrashMode::kClosed);
  fleet.KeepServers(servers);
  Clients clients(fleet, work, seed);

  for (int it = 0; it < 8 && fleet.Crashes() < kMaxCrashes; ++it) {
    clients.SendDeadly();
    fleet.RunFor(absl::Milliseconds(clients.Pick(200, 2400)));
  }
  REQUIRE(fleet.Crashes() >= kMaxCrashes);
  fleet.RunFor(fleet.contact_limit());

  int crashes = fleet.Crashes();
  int sound = 0;
  for (int it = 0; it < kLate; ++it) {
    CHECK(clients.SendDeadly() == 503);
    fleet.RunFor(absl::Milliseconds(clients.Pick(0, 300)));
    if (clients.SendSound() == 200) ++sound;
  }
  CHECK(fleet.Crashes() == crashes);
  CHECK(sound == kLate);
}

// One server at a time, so that the sound lookup is at each that ends.
TEST_CASE(
    "a sound lookup that ran beside a crashing one is served again soon, and "
    "its path is served all along",
    "[front][crash][trial]") {
  bool deadly_comes_again = GENERATE(false, true);
  CAPTURE(deadly_comes_again);
  WorkClass work = LookupClass();
  CrashDeployment fleet(
      [work](const HttpRequest& it) { return IsDeadly(work, it); }, work.target,
      CrashMode::kClosed);
  fleet.KeepServers(1);
  Clients clients(fleet, work, 7);
  const std::string shared = "/check/a?ms=300";
  for (int it = 0; it < kMaxCrashes; ++it) {
    auto beside = clients.Begin(shared);
    fleet.RunFor(absl::Milliseconds(100));
    clients.SendDeadly();
    CHECK(clients.Finish(beside) != 200);
    fleet.RunFor(kDownTime + absl::Milliseconds(300));
  }
  REQUIRE(fleet.Crashes() == kMaxCrashes);
  // Until all fronts use the restarted server again.
  fleet.RunFor(absl::Seconds(1));

  int other_served = 0;
  int refused = 0;
  for (int it = 0; it < kMost; ++it) {
    if (deadly_comes_again) clients.SendDeadly();
    int status = clients.Send(shared);
    if (status == 200) break;
    ++refused;
    if (clients.SendSound() == 200) ++other_served;
    fleet.RunFor(absl::Milliseconds(100));
  }
  CHECK(refused < kMost);
  CHECK(fleet.Crashes() <= kMaxCrashes + (deadly_comes_again ? 1 : 0));
  // All but those for which the only server was down once more.
  CHECK(other_served >= refused - (deadly_comes_again ? 25 : 0));
  fleet.RunFor(absl::Milliseconds(500));  // until all fronts have heard of it
  int served = 0;
  for (int it = 0; it < kAfter; ++it) {
    if (clients.Send(shared) == 200) ++served;
    CHECK(clients.SendDeadly() == 503);
  }
  CHECK(served == kAfter);
}

}  // namespace
}  // namespace chervilwick
