// Binary encoding of the messages between fronts.

#include "chervilwick/front/peer_messages.h"

#include <utility>

#include "chervilwick/wire/archive.h"

namespace chervilwick {
namespace {

constexpr uint32_t kDigestMagic = 0x63776b37;
constexpr uint32_t kUpdateMagic = 0x63776b38;
constexpr uint32_t kOriginsMagic = 0x63776b39;
constexpr uint32_t kChangeMagic = 0x63776b3a;

struct UseEntry {
  std::string backend;
  int32_t requests = 0;
  int32_t memory_tokens = 0;
  int32_t prompt_tokens = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(backend, requests, memory_tokens, prompt_tokens);
  }
};

struct BrokenRunEntry {
  uint64_t fingerprint = 0;
  uint64_t server = 0;
  uint64_t number = 0;
  uint32_t age_ms = 0;
  List<uint64_t> parts;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(fingerprint, server, number, age_ms, parts);
  }
};

struct ExonerationEntry {
  uint64_t fingerprint = 0;
  uint32_t age_ms = 0;
  uint8_t kind = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(fingerprint, age_ms, kind);
  }
};

struct CrashEntries {
  List<BrokenRunEntry> broken;
  List<ExonerationEntry> exonerations;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(broken, exonerations);
  }
};

struct ChangeEntry {
  std::string backend;
  uint32_t left_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(backend, left_ms);
  }
};

struct NoticeEntry {
  std::string backend;
  int64_t born_unix_ms = 0;
  uint8_t kind = 0;
  uint32_t left_ms = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(backend, born_unix_ms, kind, left_ms);
  }
};

struct AccountEntry {
  uint64_t account = 0;
  uint32_t series = 0;
  int64_t total = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(account, series, total);
  }
};

struct OriginEntry {
  std::string attempt;
  std::string service;
  std::string software;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(attempt, service, software);
  }
};

struct PeerEntry {
  uint32_t ip = 0;
  uint16_t port = 0;

  template <typename Archive>
  void serialize(Archive& archive) {  // NOLINT(readability-identifier-naming)
    archive(ip, port);
  }
};

List<UseEntry> ToEntries(const std::map<BackendName, BackendUse>& use) {
  List<UseEntry> entries;
  for (const auto& it : use) {
    entries.items.push_back({it.first.value(),
                             static_cast<int32_t>(it.second.requests),
                             static_cast<int32_t>(it.second.memory_tokens),
                             static_cast<int32_t>(it.second.prompt_tokens)});
  }
  return entries;
}

std::map<BackendName, BackendUse> FromEntries(const List<UseEntry>& entries) {
  std::map<BackendName, BackendUse> use;
  for (const UseEntry& it : entries.items) {
    use[BackendName(it.backend)] = {it.requests, it.memory_tokens,
                                    it.prompt_tokens};
  }
  return use;
}

List<NoticeEntry> ToEntries(const std::vector<BackendNotice>& notices) {
  List<NoticeEntry> entries;
  for (const BackendNotice& it : notices) {
    entries.items.push_back(
        {it.backend.value(), it.born_unix_ms, static_cast<uint8_t>(it.kind),
         static_cast<uint32_t>(absl::ToInt64Milliseconds(it.left))});
  }
  return entries;
}

List<AccountEntry> ToEntries(const AccountUse& use) {
  List<AccountEntry> entries;
  for (const auto& [id, it] : use) {
    entries.items.push_back({id.value(), it.series, it.total});
  }
  return entries;
}

AccountUse FromEntries(const List<AccountEntry>& entries) {
  AccountUse use;
  for (const AccountEntry& it : entries.items) {
    use[AccountId(it.account)] = {it.series, it.total};
  }
  return use;
}

// Accounts follow the other fields, and only if there are any.
void WriteAccounts(const AccountUse& use, BinaryWriter& writer) {
  if (!use.empty()) writer(ToEntries(use));
}

AccountUse ReadAccounts(BinaryReader& reader) {
  List<AccountEntry> entries;
  if (reader.Remaining() != 0) reader(entries);
  return FromEntries(entries);
}

uint32_t ToMilliseconds(absl::Duration age) {
  return static_cast<uint32_t>(absl::ToInt64Milliseconds(age));
}

CrashEntries ToEntries(const CrashUpdate& news) {
  CrashEntries entries;
  for (const CrashedRun& it : news.crashed_runs) {
    BrokenRunEntry entry{it.fingerprint.value(),
                         it.end.server,
                         it.end.number,
                         ToMilliseconds(it.age),
                         {}};
    for (Fingerprint part : it.parts) entry.parts.items.push_back(part.value());
    entries.broken.items.push_back(std::move(entry));
  }
  for (const Exoneration& it : news.exonerations) {
    entries.exonerations.items.push_back({it.fingerprint.value(),
                                          ToMilliseconds(it.age),
                                          static_cast<uint8_t>(it.kind)});
  }
  return entries;
}

// Skips unknown kinds, which a newer front may send.
CrashUpdate FromEntries(const CrashEntries& entries) {
  CrashUpdate news;
  for (const BrokenRunEntry& it : entries.broken.items) {
    CrashedRun run;
    run.fingerprint = Fingerprint(it.fingerprint);
    run.end = {it.server, it.number};
    run.age = absl::Milliseconds(it.age_ms);
    for (uint64_t part : it.parts.items) run.parts.emplace_back(part);
    news.crashed_runs.push_back(std::move(run));
  }
  for (const ExonerationEntry& it : entries.exonerations.items) {
    if (it.kind > static_cast<uint8_t>(Exoneration::kLastKind)) continue;
    news.exonerations.push_back({Fingerprint(it.fingerprint),
                                 absl::Milliseconds(it.age_ms),
                                 static_cast<Exoneration::Kind>(it.kind)});
  }
  return news;
}

// Skips unknown kinds, which a newer front may send.
std::vector<BackendNotice> FromEntries(const List<NoticeEntry>& entries) {
  std::vector<BackendNotice> notices;
  for (const NoticeEntry& it : entries.items) {
    if (it.kind > static_cast<uint8_t>(BackendNotice::kLastKind)) continue;
    notices.push_back({BackendName(it.backend), it.born_unix_ms,
                       static_cast<BackendNotice::Kind>(it.kind),
                       absl::Milliseconds(it.left_ms)});
  }
  return notices;
}

}  // namespace

std::string EncodeChange(const StoreRevision& revision) {
  std::string bytes;
  BinaryWriter writer(bytes);
  writer(kChangeMagic, revision.Packed());
  return bytes;
}

std::optional<StoreRevision> DecodeChange(absl::string_view bytes) {
  uint32_t magic = 0;
  uint64_t revision = 0;
  try {
    BinaryReader reader({bytes.data(), bytes.size()});
    reader(magic);
    if (magic != kChangeMagic) return std::nullopt;
    reader(revision);
    if (reader.Remaining() != 0) return std::nullopt;
  } catch (const cereal::Exception&) {
    // The caller counts malformed datagrams.
    return std::nullopt;
  }
  return StoreRevision::FromPacked(revision);
}

std::string EncodeOrigins(const OriginNews& news) {
  List<OriginEntry> entries;
  for (const StreamOrigin& it : news.origins) {
    entries.items.push_back(
        {it.attempt, it.service.value(), it.software.value()});
  }
  std::string bytes;
  BinaryWriter writer(bytes);
  writer(kOriginsMagic, static_cast<uint8_t>(news.kind), entries,
         news.era.value());
  return bytes;
}

std::optional<OriginNews> DecodeOrigins(absl::string_view bytes) {
  uint32_t magic = 0;
  uint8_t kind = 0;
  List<OriginEntry> entries;
  uint64_t era = 0;
  try {
    BinaryReader reader({bytes.data(), bytes.size()});
    reader(magic);
    if (magic != kOriginsMagic) return std::nullopt;
    reader(kind, entries, era);
    if (reader.Remaining() != 0) return std::nullopt;
  } catch (const cereal::Exception&) {
    // The caller counts malformed datagrams.
    return std::nullopt;
  }
  if (kind > static_cast<uint8_t>(OriginNews::kLastKind)) return std::nullopt;
  OriginNews news;
  news.kind = static_cast<OriginNews::Kind>(kind);
  news.era = StoreEra(era);
  for (const OriginEntry& it : entries.items) {
    news.origins.push_back(
        {it.attempt, ServiceName(it.service), SoftwareVersion(it.software)});
  }
  return news;
}

std::string EncodeDigest(const PeerDigest& digest) {
  List<UseEntry> use = ToEntries(digest.use);
  List<ChangeEntry> changing;
  for (const auto& it : digest.changing) {
    changing.items.push_back(
        {it.first.value(),
         static_cast<uint32_t>(absl::ToInt64Milliseconds(it.second))});
  }
  List<PeerEntry> peers;
  for (const Endpoint& it : digest.peers) {
    peers.items.push_back({it.ip, it.port});
  }
  std::string bytes;
  BinaryWriter writer(bytes);
  writer(kDigestMagic, digest.sender, digest.incarnation, digest.sequence,
         digest.store_revision.Packed(), digest.waiting_streams, use,
         ToEntries(digest.crashes), changing, ToEntries(digest.notices), peers);
  WriteAccounts(digest.accounts, writer);
  return bytes;
}

std::optional<PeerDigest> DecodeDigest(absl::string_view bytes) {
  uint32_t magic = 0;
  PeerDigest digest;
  uint64_t store_revision = 0;
  List<UseEntry> use;
  CrashEntries crashes;
  List<ChangeEntry> changing;
  List<NoticeEntry> notices;
  List<PeerEntry> peers;
  try {
    BinaryReader reader({bytes.data(), bytes.size()});
    reader(magic);
    if (magic != kDigestMagic) return std::nullopt;
    reader(digest.sender, digest.incarnation, digest.sequence, store_revision,
           digest.waiting_streams, use, crashes, changing, notices, peers);
    digest.accounts = ReadAccounts(reader);
    if (reader.Remaining() != 0) return std::nullopt;
  } catch (const cereal::Exception&) {
    // The caller counts malformed datagrams.
    return std::nullopt;
  }
  digest.store_revision = StoreRevision::FromPacked(store_revision);
  digest.use = FromEntries(use);
  digest.crashes = FromEntries(crashes);
  for (const ChangeEntry& it : changing.items) {
    digest.changing[BackendName(it.backend)] = absl::Milliseconds(it.left_ms);
  }
  digest.notices = FromEntries(notices);
  for (const PeerEntry& it : peers.items) {
    digest.peers.push_back({it.ip, it.port});
  }
  return digest;
}

std::string EncodeUpdate(const PeerUseUpdate& update) {
  std::string bytes;
  BinaryWriter writer(bytes);
  writer(kUpdateMagic, update.incarnation, update.sequence,
         update.waiting_streams, ToEntries(update.use),
         ToEntries(update.notices), ToEntries(update.crashes));
  WriteAccounts(update.accounts, writer);
  return bytes;
}

std::optional<PeerUseUpdate> DecodeUpdate(absl::string_view bytes) {
  uint32_t magic = 0;
  PeerUseUpdate update;
  List<UseEntry> use;
  List<NoticeEntry> notices;
  CrashEntries crashes;
  try {
    BinaryReader reader({bytes.data(), bytes.size()});
    reader(magic);
    if (magic != kUpdateMagic) return std::nullopt;
    reader(update.incarnation, update.sequence, update.waiting_streams, use,
           notices, crashes);
    update.accounts = ReadAccounts(reader);
    if (reader.Remaining() != 0) return std::nullopt;
  } catch (const cereal::Exception&) {
    // The caller counts malformed datagrams.
    return std::nullopt;
  }
  update.use = FromEntries(use);
  update.notices = FromEntries(notices);
  update.crashes = FromEntries(crashes);
  return update;
}

}  // namespace chervilwick
