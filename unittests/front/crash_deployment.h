// Test fixture: several fronts and servers that some requests crash.

#ifndef CHERVILWICK_UNITTESTS_FRONT_CRASH_DEPLOYMENT_H_
#define CHERVILWICK_UNITTESTS_FRONT_CRASH_DEPLOYMENT_H_

#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "deployment.h"
#include "raw_peer.h"

namespace chervilwick {

using CrashMode = PlatformEngine::CrashMode;

inline constexpr int kFronts = 4;
inline constexpr int kServers = 5;  // of the plain service
// Server crashes allowed before all fronts quarantine the request.
inline constexpr int kMaxCrashes = 3;
inline constexpr absl::Duration kDownTime = absl::Seconds(2);
// Pause between retries: longer than it takes to attribute a closed connection
// to a crash and to notify the other fronts.
inline constexpr absl::Duration kRetryPause = absl::Seconds(2);
// The event loops of the fronts take turns in one thread.
inline constexpr absl::Duration kLoopSlice = absl::Milliseconds(1);
inline constexpr char kBody[] = "the same body";

// Several fronts and enough servers. Some requests crash their server.
class CrashDeployment {
 public:
  CrashDeployment(const std::string& target, CrashMode sign)
      : CrashDeployment(
            [target](const HttpRequest& request) {
              return request.head.target == target;
            },
            target, sign) {}
  CrashDeployment(const PlatformEngine::Condition& condition,
                  const std::string& target, CrashMode sign)
      : target_(target) {
    for (const char* it : {"s3", "s4", "s5"}) setup_.Add(it, "desk", "");
    for (const char* it : {"d3", "d4"}) setup_.Add(it, "llm", "decode");
    for (const char* it : {"p2", "p3", "p4"}) setup_.Add(it, "llm", "prefill");
    for (const auto& it : setup_.engines) {
      PlatformEngine* engine = it.second.get();
      engine->CrashOn(condition, sign, kDownTime, [this, engine] {
        setup_.store.Put(engine->Key(), engine->Entry());
      });
    }
    setup_.Start();
    for (int it = 1; it < kFronts; ++it) peers_.push_back(MakePeer(it));
    RunFor(absl::Seconds(1));
  }

  // Restarts a front, which loses its in-memory state.
  void Restart(int number) {
    peers_[number - 1].reset();
    RunFor(absl::Milliseconds(50));
    peers_[number - 1] = MakePeer(number);
  }

  // Sends the request to a new front without seeds. It gets no state from
  // peers, as after a restart of all fronts.
  Answer SendToIsolatedFront(const std::string& method) {
    peers_.push_back(MakePeer(kFronts, /*is_isolated=*/true));
    RunFor(absl::Seconds(1));
    return SendTo(method, peers_.back()->clients);
  }

  Answer SendPartsToIsolatedFront(const std::string& parts) {
    peers_.push_back(MakePeer(kFronts, /*is_isolated=*/true));
    RunFor(absl::Seconds(1));
    setup_.extra_fields = {{"X-Prompt-Prefix", parts}};
    auto answer =
        setup_.SendRequest("POST", target_, peers_.back()->clients, 1500);
    setup_.extra_fields.clear();
    return WaitForEnd(answer);
  }

  void RunFor(absl::Duration duration) {
    absl::Time end = setup_.loop.Now() + duration;
    while (setup_.loop.Now() < end) {
      setup_.loop.RunFor(kLoopSlice);
      for (const auto& it : peers_) {
        if (it != nullptr) it->loop.RunFor(kLoopSlice);
      }
    }
  }

  // Sends the crashing request to one of the fronts.
  Answer Send(const std::string& method, int front) {
    return SendTo(method, FrontAddress(front));
  }

  std::string FrontAddress(int front) const {
    int number = front % kFronts;
    return number == 0 ? setup_.settings.clients : peers_[number - 1]->clients;
  }

  // Sends a request that is unlike all others, with these parts of a prompt.
  Answer SendParts(const std::string& parts, int front) {
    setup_.extra_fields = {{"X-Prompt-Prefix", parts}};
    auto answer =
        setup_.SendRequest("POST", target_, FrontAddress(front), 1500);
    setup_.extra_fields.clear();
    return WaitForEnd(answer);
  }

  // Sends another request to the first front.
  Answer SendOther(const std::string& method, const std::string& target) {
    return WaitForEnd(setup_.SendRequest(method, target, "", 1500, kBody));
  }

  Answer SendTo(const std::string& method, const std::string& address) {
    return WaitForEnd(
        setup_.SendRequest(method, target_, address, 1500, kBody));
  }

  Answer WaitForEnd(const std::shared_ptr<Answer>& answer) {
    absl::Time end = setup_.loop.Now() + absl::Seconds(4);
    while (!answer->is_complete && !answer->is_broken &&
           setup_.loop.Now() < end) {
      RunFor(absl::Milliseconds(5));
    }
    return *answer;
  }

  // Whether the other side has closed the connection.
  static bool IsClosed(int socket) {
    char byte = 0;
    return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  // Runs the fronts until a whole answer has arrived, the connection is closed
  // or the time is over. Returns what has arrived.
  std::string ReadAnswer(int socket, absl::Duration time) {
    absl::Time end = setup_.loop.Now() + time;
    std::string answer;
    while (setup_.loop.Now() < end && !IsWhole(answer) && !IsClosed(socket)) {
      RunFor(absl::Milliseconds(5));
      absl::StrAppend(&answer, ReadAvailable(socket));
    }
    return answer;
  }

  // Sets the fault of all servers. A server with a fault does not crash.
  void SetFaults(PlatformEngine::Fault fault) {
    for (const auto& it : setup_.engines) it.second->SetFault(fault);
  }

  int Crashes() const {
    int crashes = 0;
    for (const auto& it : setup_.engines) crashes += it.second->crashes();
    return crashes;
  }

  // Leaves `n` of the plain servers in service.
  void KeepServers(int n) {
    for (int it = n + 1; it <= kServers; ++it) {
      setup_.RemoveServer(absl::StrCat("s", it));
    }
    RunFor(absl::Milliseconds(500));
  }

  PlatformStore& store() { return setup_.store; }

  absl::Duration contact_limit() const { return setup_.settings.contact_limit; }

  // Sends the request to the fronts in turn until `crashes` servers have
  // crashed.
  void SendUntilCrashes(const std::string& method, int crashes) {
    for (int it = 0; it < 4 * crashes && Crashes() < crashes; ++it) {
      Send(method, next_front_++);
      RunFor(kRetryPause);
    }
    REQUIRE(Crashes() == crashes);
    RunFor(setup_.settings.contact_limit);
  }

  static void CheckQuarantineResponse(const Answer& answer) {
    CHECK(answer.status == 503);
    // An earlier retry would be refused, too.
    double seconds = 0;
    CHECK(absl::SimpleAtod(answer.head.Get("Retry-After"), &seconds));
    CHECK(seconds > 60);
  }

  // Checks that every front refuses the request and no server receives it.
  void CheckQuarantined(const std::string& method) {
    for (int it = 0; it < 2 * kFronts; ++it) {
      Answer answer = Send(method, next_front_++);
      CheckQuarantineResponse(answer);
    }
    CHECK(Crashes() == kMaxCrashes);
  }

 private:
  // A front with its own event loop, so that it can be stopped separately.
  struct Peer {
    EventLoop loop;
    std::string clients;
    std::unique_ptr<std::FILE, int (*)(std::FILE*)> log{std::tmpfile(),
                                                        &std::fclose};
    std::unique_ptr<FrontDaemon> front;
  };

  static bool IsWhole(const std::string& answer) {
    size_t head = answer.find("\r\n\r\n");
    if (head == std::string::npos) return false;
    size_t field = answer.find("Content-Length: ");
    if (field == std::string::npos || field > head) {
      return absl::EndsWith(answer, "\r\n0\r\n\r\n");
    }
    size_t length = std::strtoul(&answer[field + 16], nullptr, 10);
    return answer.size() >= head + 4 + length;
  }

  std::unique_ptr<Peer> MakePeer(int number, bool is_isolated = false) {
    FrontSettings settings =
        setup_.PeerSettings(absl::StrCat("front-", number + 1), number);
    if (is_isolated) settings.seeds.clear();
    auto peer = std::make_unique<Peer>();
    peer->clients = settings.clients;
    peer->front = std::make_unique<FrontDaemon>(
        peer->loop, settings, "", setup_.protocol, fileno(peer->log.get()));
    REQUIRE_FALSE(peer->front->Start().has_value());
    return peer;
  }

  std::string target_;
  TestDeployment setup_;
  std::vector<std::unique_ptr<Peer>> peers_;
  int next_front_ = 0;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_UNITTESTS_FRONT_CRASH_DEPLOYMENT_H_
