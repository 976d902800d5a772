// Client that polls the platform's host list.

#include "chervilwick/store/host_list_client.h"

#include <httplib.h>

#include <optional>
#include <utility>

#include "chervilwick/support/host_port.h"

namespace chervilwick {
namespace {

constexpr int kTimeoutSeconds = 2;

}  // namespace

HostListClient::HostListClient(std::string address, absl::Duration interval,
                               Handler on_hosts)
    : address_(std::move(address)),
      interval_(interval),
      on_hosts_(std::move(on_hosts)) {}

HostListClient::~HostListClient() { Stop(); }

void HostListClient::Start() {
  duty_.Start("host-list", [this] { Loop(); });
}

void HostListClient::Stop() {
  {
    MutexLock lock(&mutex_);
    stopping_ = true;
    stop_.NotifyAll();
  }
  duty_.Join();
}

void HostListClient::ReadOnce() {
  HostPort address = SplitAddress(address_);
  httplib::Client client(address.host, address.port);
  client.set_connection_timeout(kTimeoutSeconds);
  client.set_read_timeout(kTimeoutSeconds);
  httplib::Result result = client.Get("/hosts");
  if (!result) return;
  std::optional<std::vector<HostRecord>> hosts = ParseHostList(result->body);
  if (hosts) on_hosts_(*std::move(hosts));
}

void HostListClient::Loop() {
  while (true) {
    ReadOnce();
    MutexLock lock(&mutex_);
    if (stop_.WaitFor(mutex_, interval_, [this] { return stopping_; })) return;
  }
}

}  // namespace chervilwick
