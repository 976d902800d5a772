// A server that answers requests on kept connections with exact bytes.

#ifndef CHERVILWICK_UNITTESTS_COMMON_SCRIPTED_PEER_H_
#define CHERVILWICK_UNITTESTS_COMMON_SCRIPTED_PEER_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "chervilwick/net/http_message.h"
#include "chervilwick/net/socket.h"

namespace chervilwick {

class ScriptedPeer {
 public:
  struct Reply {
    explicit Reply(std::string answer) : bytes(std::move(answer)) {}

    std::string bytes;
    bool closes = false;  // after the bytes
    bool resets = false;  // the connection, after the bytes have arrived
    std::chrono::milliseconds reset_delay{3};
    bool half_closes = false;  // after the bytes; the request is read on
    // Both directions after the bytes; nothing more is read.
    bool shuts_down = false;
    // The process ends after the bytes: connections are closed as its kernel
    // would close them, and new ones are refused until it runs again.
    bool crashes = false;
    std::chrono::milliseconds down{300};  // after a crash
    // Until then, new connections are accepted and closed instead.
    bool closes_new = false;
    std::chrono::milliseconds closes_new_after{0};
    std::string greeting;  // sent on connections that are made later
    std::string extra;     // sent before the bytes
  };
  // Called on the peer's thread. `previous` is the last answer (its bytes) on
  // the request's connection, empty for its first request.
  using Script = std::function<Reply(const HttpHead& request,
                                     const std::string& previous)>;

  struct Options {
    // Answers before the body of the request is read.
    bool answers_heads = false;
    int receive_buffer_bytes = 0;  // of each connection; 0 for the default
  };

  explicit ScriptedPeer(Script script) : ScriptedPeer(std::move(script), {}) {}
  ScriptedPeer(Script script, Options options);
  ~ScriptedPeer();

  const Endpoint& endpoint() const { return endpoint_; }
  // Heads of the requests so far.
  std::vector<HttpHead> Requests() const;
  int connections() const { return connections_; }

 private:
  struct Connection;

  void Serve();
  void Crash(const Reply& reply);
  void Accept();
  // These return whether the connection stays open.
  bool Read(int socket, Connection& connection);
  bool Answer(int socket, Connection& connection);

  Script script_;
  Options options_;
  Endpoint endpoint_;
  int listener_;
  std::chrono::steady_clock::time_point up_at_;  // after a crash
  bool closes_new_ = false;                      // until then
  std::chrono::milliseconds closes_new_after_{0};
  std::string greeting_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> connections_{0};
  mutable std::mutex mutex_;
  std::vector<HttpHead> requests_;
  std::map<int, std::unique_ptr<Connection>> open_;
  std::thread thread_;
};

// Serialized answer to the request `id`: a refusal that promises that it did
// not run, and a success with the engine's stamp.
std::string RefusalTo(const std::string& id, int status = 503);
std::string SuccessTo(const std::string& id, const std::string& body);
// The same success in an answer that ends with its connection.
std::string UnframedTo(const std::string& id, const std::string& body,
                       const std::string& type = "text/event-stream");
// Head of a stream of events, whose body is sent in chunks.
std::string StreamHeadTo(const std::string& id);

}  // namespace chervilwick

#endif  // CHERVILWICK_UNITTESTS_COMMON_SCRIPTED_PEER_H_
