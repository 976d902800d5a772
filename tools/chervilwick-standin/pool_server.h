// HTTP server of the stand-ins: a thread for each connection, so that their
// handlers may block as a real engine computes.

#ifndef CHERVILWICK_TOOLS_STANDIN_POOL_SERVER_H_
#define CHERVILWICK_TOOLS_STANDIN_POOL_SERVER_H_

#include <httplib.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "chervilwick/kernel/duty.h"
#include "chervilwick/kernel/kernel.h"

namespace chervilwick {

struct PoolServerOptions {
  std::string address;       // ip:port
  size_t max_threads = 256;  // connections served at once
  size_t max_body_bytes = size_t{4} << 20;
};

// Serves requests by the handlers that are registered on server() before Start.
class PoolServer : public Service {
 public:
  explicit PoolServer(PoolServerOptions options);
  ~PoolServer() override;

  httplib::Server& server();
  // Binds the address. Returns an error text when it can't.
  std::optional<std::string> Bind();
  void Start() override;
  void Stop() override;

 private:
  class Impl;

  const PoolServerOptions options_;
  std::unique_ptr<Impl> impl_;
  Duty duty_;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_TOOLS_STANDIN_POOL_SERVER_H_
