// Where streams began, for clients that take them up.

#ifndef CHERVILWICK_FRONT_STREAM_ORIGINS_H_
#define CHERVILWICK_FRONT_STREAM_ORIGINS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/random/random.h"
#include "absl/time/time.h"
#include "chervilwick/front/front_context.h"
#include "chervilwick/front/peer_link.h"
#include "chervilwick/front/store_call.h"

namespace chervilwick {

// Records the software version at which each resumable stream began. A record
// is a fact about the past: written once and never changed, so that an old copy
// of it is as good as a new one, and a front can be wrong only in not having
// it. A stream without a record can't be taken up.
//
// Each record has its own key in the store, which expires once no client can
// come back for the stream. A few fronts write the records of all, so that many
// share a call; a front writes those that are not acknowledged in time itself.
// The store passes records on to all fronts. While it does not acknowledge
// them, peers are told directly.
class StreamOrigins {
 public:
  StreamOrigins(FrontContext& context, PeerLink& peers)
      : context_(context),
        peers_(peers),
        write_timer_(context.loop, [this] { Write(); }) {}

  // Sets how long after its first event a client may take up a stream.
  void SetLifetime(absl::Duration lifetime) { lifetime_ = lifetime; }
  // A stream of this front has begun.
  void Record(const StreamOrigin& origin);
  // A stream has begun at another front, by the store.
  void Learn(const StreamOrigin& origin);
  // A peer has sent records.
  void OnNews(const OriginNews& news, const Endpoint& from);
  // Nullopt if it is unknown here, or if two streams bore the attempt's id.
  std::optional<StreamOrigin> Find(const std::string& attempt) const;
  // Reads the record from the store, and from peers if the store is away or
  // slow, then calls `done`, whether or not Find() knows it now.
  void Read(const std::string& attempt, bool is_store_reachable,
            std::function<void()> done);
  // The store has returned from an older copy: this front's records are written
  // again.
  void OnStoreReturned(StoreEra era);
  // Called periodically.
  void Tick();

  size_t size() const { return known_.size(); }

 private:
  struct Known {
    StreamOrigin origin;
    absl::Time until;
    bool is_own = false;
    bool is_ambiguous = false;
  };
  // A record that the store has not acknowledged.
  struct Unwritten {
    std::string attempt;
    absl::Time write_at;                // by this front
    std::optional<Endpoint> requester;  // peer that is told when it is written
    // Peers are told of records of this front at times.
    absl::Time tell_at = absl::InfiniteFuture();
    uint32_t times_told = 0;
  };
  struct Reading {
    absl::Time until;
    // The store has no record yet; it is asked again then.
    absl::Time ask_at = absl::InfinitePast();
    bool is_calling = false;
    // When peers are asked, which they are twice, as datagrams may be lost.
    absl::Time ask_peers_at;
    uint32_t times_peers_asked = 0;
    std::vector<std::function<void()>> done;
  };

  Known& Add(const StreamOrigin& origin);
  void Prune(absl::Time now);
  void AddOwnUnwritten(const std::string& attempt, absl::Time now);
  // Tells all peers of records that the store has not acknowledged in time.
  // Each is told several times, as datagrams may be lost.
  void TellPeers(absl::Time now);
  void OnToWrite(const OriginNews& news, const Endpoint& from);
  void OnAsked(const OriginNews& news, const Endpoint& from);
  void OnAmbiguous(const StreamOrigin& origin);
  void AskPeers(absl::Time now);
  void MarkWritten(const std::vector<StreamOrigin>& origins, StoreEra era);
  // Writes the records that are due unless a call is open.
  void Write();
  void WriteAt(absl::Time time);
  absl::Duration LeaseTime() const;
  void RequestLease();
  void WriteBatch();
  void OnWritten(const StoreAnswer& answer,
                 const std::vector<StreamOrigin>& batch);
  void RetryLater();
  void AskDueReadings(absl::Time now);
  void Ask(const std::string& attempt);
  void OnMissing(const std::string& attempt);
  void FinishReading(const std::string& attempt);

  FrontContext& context_;
  PeerLink& peers_;
  absl::BitGen random_;
  Timer write_timer_;
  absl::Time write_at_ = absl::InfiniteFuture();  // of the timer
  // Until a configuration tells how long streams may take.
  absl::Duration lifetime_ = absl::Minutes(1);
  absl::flat_hash_map<std::string, Known> known_;
  std::deque<std::string> by_age_;
  std::deque<Unwritten> unwritten_;
  std::map<std::string, Reading> readings_;
  bool is_calling_ = false;
  int failures_ = 0;  // in a row
  absl::Time next_attempt_ = absl::InfinitePast();
  StoreEra era_;
  std::string lease_;
  absl::Duration lease_time_;  // that was asked for
  absl::Time lease_sent_ = absl::InfinitePast();
};

}  // namespace chervilwick

#endif  // CHERVILWICK_FRONT_STREAM_ORIGINS_H_
