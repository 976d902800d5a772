// Micro-kernel: services registered by name, started and stopped in order.

#ifndef CHERVILWICK_KERNEL_KERNEL_H_
#define CHERVILWICK_KERNEL_KERNEL_H_

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/time/time.h"

namespace chervilwick {

// A part of a process with a life of its own.
class Service {
 public:
  virtual ~Service() = default;
  // Starts the service's duty threads, if it has any.
  virtual void Start() {}
  // Returns once its threads have ended.
  virtual void Stop() {}
  // Does the work that is pending without blocking; used in place of threads
  // under virtual time. Returns whether anything was done.
  virtual bool RunOnce(absl::Time /*now*/) { return false; }
};

// Owns the services of a process.
class Kernel {
 public:
  // Registers `service` under a unique `name` and returns it.
  template <typename T>
  T* Register(const std::string& name, std::unique_ptr<T> service) {
    T* raw = service.get();
    Add(name, std::move(service));
    return raw;
  }

  // Returns the service of that name and type, or null.
  template <typename T>
  T* Find(std::string_view name) const {
    return dynamic_cast<T*>(Lookup(name));
  }

  // Starts all in order of registration.
  void StartAll();
  // Stops all in reverse order.
  void StopAll();
  // Runs all services once on the calling thread, in order of registration.
  bool PumpOnce(absl::Time now);

 private:
  struct Entry {
    std::string name;
    std::unique_ptr<Service> service;
  };

  void Add(const std::string& name, std::unique_ptr<Service> service);
  Service* Lookup(std::string_view name) const;

  std::vector<Entry> services_;
  bool started_ = false;
};

}  // namespace chervilwick

#endif  // CHERVILWICK_KERNEL_KERNEL_H_
