#pragma once

#include "hemlockproxy/decisions/RequestId.h"
#include "hemlockproxy/decisions/RunKind.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Digest.h"
#include "hemlockproxy/model/Ids.h"
#include "hemlockproxy/model/Result.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace hemlockproxy::decisions {

/// Identifies requests that are the same to a backend server.
struct Fingerprint
{
  model::Digest digest_;

  friend auto operator<=>(const Fingerprint&, const Fingerprint&) = default;
  friend bool operator==(const Fingerprint&, const Fingerprint&) = default;
};

/// Returns the fingerprint of a request; aContent is its idempotency key or the hash of its body.
[[nodiscard]] Fingerprint MakeFingerprint(std::string_view aMethod,
                                          std::string_view aPath,
                                          std::string_view aContent);

/// What a completed run says about earlier crashes.
enum class Exoneration : std::uint8_t
{
  /// Nothing; only useful as a baseline.
  None,
  /// The request did not cause them.
  ByCompletion,
};

/// What must happen before a request is rejected.
enum class Conviction : std::uint8_t
{
  /// So many crashes, whatever else ran; only useful as a baseline.
  ByCount,
  /// A crash while the request ran alone.
  ByCrashAlone,
};

struct QuarantineOptions
{
  /// Crashes after which a request runs alone.
  std::size_t crashesBeforeIsolation_ = 2;
  /// Crashes after which a request is rejected with Conviction::ByCount.
  std::size_t crashesBeforeRejection_ = 3;
  Exoneration exoneration_ = Exoneration::ByCompletion;
  Conviction conviction_ = Conviction::ByCrashAlone;
  /// The first rejection lasts this long; each further one twice as long, up to the maximum.
  std::chrono::milliseconds baseRejection_{ 30000 };
  std::chrono::milliseconds maximumRejection_{ 3600000 };
  /// A suspect is forgotten this long after its last crash or rejection.
  std::chrono::milliseconds memory_{ 600000 };
  /// Two reports of a crash of one server within this time are about the same crash. It must be
  /// longer than a report takes between peers and shorter than a server takes to restart twice.
  std::chrono::milliseconds sameCrash_{ 2000 };
  std::size_t maximumSuspects_ = 1024;
};

struct QuarantineError
{
  std::string message_;
};

/// One crash during which a request was in progress.
struct CrashEvidence
{
  model::DaemonId server_;
  /// How long ago, when the record was made.
  std::chrono::milliseconds age_{};

  friend bool operator==(const CrashEvidence&, const CrashEvidence&) = default;
};

/// What is known of a suspect, for peers. Times are ages, so that peers need no common clock.
struct QuarantineRecord
{
  Fingerprint fingerprint_;
  /// At most kMaximumCrashes.
  std::vector<CrashEvidence> crashes_;
  /// Crashes that are older than this do not count.
  std::optional<std::chrono::milliseconds> clearedAge_;
  /// The last rejection's start, and how many rejections there were.
  std::optional<std::chrono::milliseconds> rejectedAge_;
  std::uint32_t rejections_ = 0;

  friend bool operator==(const QuarantineRecord&, const QuarantineRecord&) = default;
};

/// How many crashes a suspect's record holds; the oldest are dropped.
inline constexpr std::size_t kMaximumCrashes = 4;

struct RunShared
{};
/// Run it while no other request runs on the backend server.
struct RunAlone
{};
/// Reject it as Quarantined until then.
struct RejectQuarantined
{
  model::TimePoint until_;
};

using QuarantineVerdict = std::variant<RunShared, RunAlone, RejectQuarantined>;

enum class RunEnd : std::uint8_t
{
  /// The backend server sent a complete response and lives.
  Completed,
  /// Anything else; says nothing about the request.
  Other,
};

/// Finds requests that crash the backend servers that run them.
///
/// A request in progress at a crash becomes a suspect. A suspect that completes is cleared; one
/// that crashes servers again runs alone; one that crashes a server while it runs alone is rejected
/// for a time. Requests that shared a server with it are never rejected.
class Quarantine
{
public:
  /// Fails on times or sizes of 0.
  [[nodiscard]] static model::Result<Quarantine, QuarantineError> Create(
    QuarantineOptions aOptions);

  [[nodiscard]] QuarantineVerdict Consider(model::TimePoint aNow,
                                           const Fingerprint& aFingerprint) const;
  /// Notes that a request starts on a backend server, named by its daemon.
  void Started(RequestId aId,
               const Fingerprint& aFingerprint,
               const model::DaemonId& aServer,
               RunKind aKind);
  /// Notes the end of a run; returns the record to tell peers if a suspect was cleared.
  std::optional<QuarantineRecord> Finished(model::TimePoint aNow, RequestId aId, RunEnd aEnd);
  /// Notes that a backend server crashed; its requests in progress end. Returns the records to tell
  /// peers.
  [[nodiscard]] std::vector<QuarantineRecord> Crashed(model::TimePoint aNow,
                                                      const model::DaemonId& aServer);
  /// Takes in records of a peer. Taking the same record again changes nothing.
  void Merge(model::TimePoint aNow, const std::vector<QuarantineRecord>& aRecords);
  /// Returns all records, for a peer that joins.
  [[nodiscard]] std::vector<QuarantineRecord> Records(model::TimePoint aNow) const;
  /// Forgets old suspects.
  void Tick(model::TimePoint aNow);

  [[nodiscard]] std::size_t SuspectCount() const noexcept { return suspects_.size(); }

private:
  struct Crash
  {
    model::DaemonId server_;
    model::TimePoint at_;
  };
  struct Suspect
  {
    std::vector<Crash> crashes_;
    std::optional<model::TimePoint> clearedAt_;
    std::optional<model::TimePoint> rejectedAt_;
    std::uint32_t rejections_ = 0;
  };
  struct Run
  {
    Fingerprint fingerprint_;
    model::DaemonId server_;
    RunKind kind_;
  };

  explicit Quarantine(const QuarantineOptions& aOptions)
    : options_(aOptions)
  {
  }

  void AddCrash(Suspect& aSuspect, const Crash& aCrash) const;
  static void Clear(Suspect& aSuspect, model::TimePoint aAt);
  static void Reject(Suspect& aSuspect, model::TimePoint aNow);
  void MergeOne(model::TimePoint aNow, const QuarantineRecord& aRecord);
  [[nodiscard]] model::TimePoint RejectedUntil(const Suspect& aSuspect) const;
  [[nodiscard]] model::TimePoint LastNews(const Suspect& aSuspect) const;
  [[nodiscard]] QuarantineRecord ToRecord(model::TimePoint aNow,
                                          const Fingerprint& aFingerprint,
                                          const Suspect& aSuspect) const;
  /// Makes room for one more suspect.
  void Evict();

  QuarantineOptions options_;
  std::map<Fingerprint, Suspect> suspects_;
  std::unordered_map<RequestId, Run> running_;
};

} // namespace hemlockproxy::decisions
