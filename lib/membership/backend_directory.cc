// Directory of the backend servers in an entry's subset.

#include "chervilwick/membership/backend_directory.h"

#include <algorithm>
#include <utility>

namespace chervilwick {
namespace {

// Agents send a heartbeat each second.
constexpr absl::Duration kSilenceLimit = absl::Milliseconds(2200);
constexpr absl::Duration kRetentionTime = absl::Seconds(30);
constexpr double kTokenTimeWeight = 0.2;
// A backend server slower than the pool's median by kEjectionFactor is ejected;
// below kEjectionResetFactor its next ejection starts at the minimum again.
constexpr double kEjectionFactor = 2.0;
constexpr double kEjectionResetFactor = 1.3;
constexpr absl::Duration kMinEjection = absl::Seconds(1);
constexpr absl::Duration kMaxEjection = absl::Seconds(30);
constexpr size_t kMinPoolForEjection = 3;
constexpr int kPercent = 100;

}  // namespace

const char* LivenessName(Liveness liveness) {
  switch (liveness) {
    case Liveness::kLive:
      return "live";
    case Liveness::kLeaving:
      return "leaving";
    case Liveness::kSilent:
      return "silent";
    case Liveness::kUnheard:
      return "unheard";
  }
  return "unknown";
}

void BackendDirectory::Update(const std::vector<HostRecord>& agents) {
  for (auto& [name, backend] : backends_) backend.listed = false;
  for (const HostRecord& it : agents) {
    Backend& backend = backends_[it.backend];
    backend.name = it.backend;
    backend.listed = true;
    backend.listed_leaving = it.leaving;
    // The list lags behind, so an agent known from its own messages takes
    // precedence.
    if (backend.agent.value().empty()) {
      backend.agent = it.name;
      backend.zone = it.zone;
      backend.address = it.address;
      by_agent_[it.name] = it.backend;
    }
  }
}

Backend* BackendDirectory::OnHello(const Envelope& envelope, const Hello& hello,
                                   absl::Time now) {
  if (hello.role != NodeRole::kAgent || hello.backend.value().empty()) {
    return nullptr;
  }
  Backend& backend = backends_[hello.backend];
  backend.name = hello.backend;
  backend.agent = envelope.from;
  backend.zone = hello.zone;
  backend.address = hello.address;
  by_agent_[envelope.from] = hello.backend;
  return OnHeard(envelope, now);
}

Backend* BackendDirectory::OnHeard(const Envelope& envelope, absl::Time now) {
  Backend* backend = FindByAgent(envelope.from);
  if (backend == nullptr) return nullptr;
  backend->last_heard = now;
  backend->version = std::max(backend->version, envelope.version);
  if (backend->incarnation != envelope.incarnation) {
    backend->incarnation = envelope.incarnation;
    backend->leaving = false;
    backend->load = LoadReport{};
    backend->unreported_places = 0;
    backend->unreported_queue_us = 0;
  }
  return backend;
}

void BackendDirectory::OnLoad(Backend& backend, const LoadReport& load,
                              absl::Time now) {
  backend.load = load;
  backend.load_at = now;
  backend.leaving = load.leaving;
  backend.unreported_places = 0;
  backend.unreported_queue_us = 0;
}

Backend* BackendDirectory::OnLoad(const BackendName& name,
                                  const LoadReport& load, absl::Time now) {
  Backend* backend = Find(name);
  if (backend != nullptr) OnLoad(*backend, load, now);
  return backend;
}

Backend* BackendDirectory::Find(const BackendName& name) {
  auto it = backends_.find(name);
  return it == backends_.end() ? nullptr : &it->second;
}

Backend* BackendDirectory::FindByAgent(const NodeName& agent) {
  auto it = by_agent_.find(agent);
  return it == by_agent_.end() ? nullptr : Find(it->second);
}

Liveness BackendDirectory::LivenessOf(const Backend& backend,
                                      absl::Time now) const {
  if (backend.last_heard == absl::InfinitePast()) return Liveness::kUnheard;
  if (now - backend.last_heard > kSilenceLimit) return Liveness::kSilent;
  if (backend.leaving || backend.listed_leaving) return Liveness::kLeaving;
  return Liveness::kLive;
}

bool BackendDirectory::IsUsable(const Backend& backend, absl::Time now) const {
  return LivenessOf(backend, now) == Liveness::kLive && backend.load.ready &&
         now >= backend.ejected_until;
}

std::vector<Backend*> BackendDirectory::Usable(const Pool& pool,
                                               absl::Time now) {
  std::vector<Backend*> usable;
  for (const auto& [name, setup] : pool.servers) {
    if (setup.drained) continue;
    Backend* backend = Find(name);
    if (backend != nullptr && IsUsable(*backend, now)) {
      usable.push_back(backend);
    }
  }
  return usable;
}

std::set<BackendName> BackendDirectory::Live(absl::Time now) const {
  std::set<BackendName> live;
  for (const auto& [name, backend] : backends_) {
    Liveness liveness = LivenessOf(backend, now);
    bool expected = liveness == Liveness::kUnheard && backend.listed &&
                    !backend.listed_leaving;
    if (liveness == Liveness::kLive || expected) live.insert(name);
  }
  return live;
}

std::optional<double> BackendDirectory::MedianTokenTime(
    const Pool& pool) const {
  std::vector<double> times;
  for (const auto& [name, setup] : pool.servers) {
    auto it = backends_.find(name);
    if (it != backends_.end() && it->second.token_us > 0) {
      times.push_back(it->second.token_us);
    }
  }
  if (times.size() < kMinPoolForEjection) return std::nullopt;
  auto middle = times.begin() + static_cast<int64_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

void BackendDirectory::ObserveTokenTime(Backend& backend, const Pool& pool,
                                        absl::Duration per_token,
                                        uint32_t max_ejected_percent,
                                        absl::Time now) {
  double sample = absl::ToDoubleMicroseconds(per_token);
  backend.token_us =
      backend.token_us == 0
          ? sample
          : backend.token_us + kTokenTimeWeight * (sample - backend.token_us);
  if (now < backend.ejected_until) return;
  std::optional<double> median = MedianTokenTime(pool);
  if (!median) return;
  if (backend.token_us < kEjectionResetFactor * *median) {
    backend.ejection = absl::ZeroDuration();
    return;
  }
  if (backend.token_us < kEjectionFactor * *median) return;
  size_t ejected = 0;
  for (const auto& [name, setup] : pool.servers) {
    Backend* other = Find(name);
    if (other != nullptr && now < other->ejected_until) ++ejected;
  }
  if ((ejected + 1) * kPercent > pool.servers.size() * max_ejected_percent) {
    return;
  }
  backend.ejection =
      std::clamp(2 * backend.ejection, kMinEjection, kMaxEjection);
  backend.ejected_until = now + backend.ejection;
}

void BackendDirectory::RemoveStale(absl::Time now) {
  for (auto it = backends_.begin(); it != backends_.end();) {
    const Backend& backend = it->second;
    bool gone = !backend.listed && now - backend.last_heard > kRetentionTime;
    if (gone) by_agent_.erase(backend.agent);
    it = gone ? backends_.erase(it) : std::next(it);
  }
}

}  // namespace chervilwick
