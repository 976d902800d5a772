// A server whose answer never ends.

#ifndef CHERVILWICK_UNITTESTS_COMMON_ENDLESS_PEER_H_
#define CHERVILWICK_UNITTESTS_COMMON_ENDLESS_PEER_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "chervilwick/net/socket.h"

namespace chervilwick {

// One place of an answer that may come without end.
struct EndlessAnswer {
  std::string name;
  std::string begin;
  std::string filler;  // sent again and again
};

// Every place; heads name `request_id` as the request that they answer, and
// `fields` are further lines of a head.
std::vector<EndlessAnswer> EndlessAnswers(const std::string& request_id,
                                          const std::string& fields = "");

// Memory that this process holds now: resident, or on the heap in a build with
// the address sanitizer.
size_t HeldBytes();

// Answers any number of connections at once, each with bytes at a steady rate
// until the caller closes it.
class EndlessServer {
 public:
  // Answer to the request with that id.
  using Script = std::function<EndlessAnswer(const std::string& request_id)>;

  EndlessServer(Script script, size_t bytes_per_second);
  ~EndlessServer();
  const Endpoint& endpoint() const { return endpoint_; }
  // Connections on which an answer has begun.
  int answers() const { return answers_; }

 private:
  struct Connection;

  void Serve();
  // Returns whether the connection stays open.
  bool Advance(Connection& connection, size_t bytes);

  Script script_;
  size_t bytes_per_second_;
  Endpoint endpoint_;
  int listener_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> answers_{0};
  std::thread thread_;
};

// Answers each connection with bytes until the caller closes it, or until
// kMaxBytes have been taken.
class EndlessPeer {
 public:
  static constexpr size_t kMaxBytes = size_t{1} << 30;

  explicit EndlessPeer(EndlessAnswer answer);
  ~EndlessPeer();
  const Endpoint& endpoint() const { return endpoint_; }
  // Connections that the caller has closed.
  int closed() const { return closed_; }
  size_t bytes_taken() const { return bytes_taken_; }

 private:
  void Serve(int socket);

  EndlessAnswer answer_;
  Endpoint endpoint_;
  int listener_;
  std::atomic<bool> stopping_{false};
  std::atomic<int> closed_{0};
  std::atomic<size_t> bytes_taken_{0};
  std::thread thread_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_UNITTESTS_COMMON_ENDLESS_PEER_H_
