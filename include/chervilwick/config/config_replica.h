// A process's replica of the configuration: the version in force and the most
// recent records, updated from peers and from the store.

#ifndef CHERVILWICK_CONFIG_CONFIG_REPLICA_H_
#define CHERVILWICK_CONFIG_CONFIG_REPLICA_H_

#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "chervilwick/config/routing_setup.h"
#include "chervilwick/support/ids.h"
#include "chervilwick/wire/messages.h"

namespace chervilwick {

// Version numbers only increase: a record that is not newer than the version in
// force is ignored. The content of each accepted record is checked against its
// hash.
class ConfigReplica {
 public:
  ConfigReplica();
  ~ConfigReplica();

  // Number of the version in force; zero until a version is known.
  VersionNumber number() const { return number_; }
  bool IsKnown() const { return number_.value() > 0; }
  const std::string& content() const { return content_; }
  const RoutingSetup& setup() const { return *setup_; }
  // When this process applied the version in force.
  absl::Time in_force_since() const { return in_force_since_; }
  // When this process first applied a version newer than `number`; infinite
  // future when it has applied none.
  absl::Time SupersededAt(VersionNumber number) const;
  // Most recent consecutive records, oldest first, without their contents.
  const std::deque<VersionRecord>& recent() const { return recent_; }
  // These search the recent records; null when there is no match.
  const VersionRecord* FindRecord(VersionNumber number) const;
  const VersionRecord* FindPatch(const PatchId& patch_id) const;

  // Returns the request to send to a peer that is at `peer_version`, unless
  // this process is up to date or sent a request within the pull interval.
  std::optional<ConfigPull> OnPeerVersion(VersionNumber peer_version,
                                          absl::Time now);
  // Returns the records that a peer lacks, or nothing if it is up to date.
  std::optional<ConfigPush> OnPull(const ConfigPull& pull) const;
  // Applies a peer's records. Returns whether the version in force changed.
  bool OnPush(const ConfigPush& push, absl::Time now);
  // Applies one record, a delta on the version in force or a full record.
  // Returns whether the version in force changed.
  bool Apply(const VersionRecord& record, absl::Time now);

 private:
  bool HasDeltasAfter(VersionNumber have) const;
  // Updates the tree to the record's content. Returns whether the record was
  // usable.
  bool UpdateTree(const VersionRecord& record);
  void AppendRecent(VersionRecord record);

  VersionNumber number_;
  std::string content_ = "{}";
  // Parsed content, so that applying a delta does not parse the full content.
  std::unique_ptr<nlohmann::json> tree_;
  std::unique_ptr<const RoutingSetup> setup_ =
      std::make_unique<const RoutingSetup>();
  absl::Time in_force_since_ = absl::InfinitePast();
  absl::Time next_pull_ = absl::InfinitePast();
  bool needs_full_ = false;
  std::deque<VersionRecord> recent_;
  struct VersionTime {
    VersionNumber number;
    absl::Time at;
  };
  std::deque<VersionTime> version_times_;  // oldest first
};

}  // namespace chervilwick

#endif  // CHERVILWICK_CONFIG_CONFIG_REPLICA_H_
