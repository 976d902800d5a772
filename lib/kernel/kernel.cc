// Micro-kernel.

#include "chervilwick/kernel/kernel.h"

#include <cassert>

namespace chervilwick {

void Kernel::Add(const std::string& name, std::unique_ptr<Service> service) {
  assert(Lookup(name) == nullptr && "service names are unique");
  assert(!started_ && "services are registered before the start");
  services_.push_back({name, std::move(service)});
}

Service* Kernel::Lookup(std::string_view name) const {
  for (const Entry& it : services_) {
    if (it.name == name) return it.service.get();
  }
  return nullptr;
}

void Kernel::StartAll() {
  started_ = true;
  for (const Entry& it : services_) it.service->Start();
}

void Kernel::StopAll() {
  for (auto it = services_.rbegin(); it != services_.rend(); ++it) {
    it->service->Stop();
  }
}

bool Kernel::PumpOnce(absl::Time now) {
  bool worked = false;
  for (const Entry& it : services_) worked |= it.service->RunOnce(now);
  return worked;
}

}  // namespace chervilwick
