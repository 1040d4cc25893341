#pragma once

namespace hemlockproxy::model {

struct Address;
struct AttemptId;
struct BackendReport;
struct CallerLimits;
struct CheckpointRecord;
struct ClaimEntry;
struct ClaimRecord;
struct Configuration;
struct Customer;
struct CustomerList;
struct Digest;
struct Endpoint;
struct Event;
struct FileError;
struct HybridTimestamp;
struct MemberRecord;
struct PublishRecord;
struct RouteRule;
struct ServiceConfig;
struct ServiceFile;
struct ServiceFolder;
struct ServiceResource;
struct SourcePosition;
class HybridClock;
enum class LimitKind : unsigned char;
enum class MemberState : unsigned char;
enum class RefusalReason : unsigned char;
enum class RequestOutcome : unsigned char;

} // namespace hemlockproxy::model
