// Control datagrams and sync messages between daemons. Encoded with the compact protocol. The names used in a message
// (regions, failure domains, services) stand once in its list "names" and are referred to by index.
namespace cpp hemlockproxy.wire.gen

include "allowances.thrift"

struct EndpointT {
  1: i32 service_name
  2: i32 slots
  3: i32 connections
  4: optional bool draining
  5: optional string backend_id
}

struct RecordT {
  // IPv4 number in the upper, port in the lower 16 bits; the daemon's id is this address in text form.
  1: i64 control
  2: i32 forward_port
  3: optional i32 forward_ip
  4: i32 region
  5: i32 failure_domain
  6: i64 incarnation
  7: i64 sequence
  8: optional i8 state
  9: optional bool leaving
  10: optional EndpointT backend
}

struct ClaimT {
  1: i64 control
  2: i64 incarnation
  3: i8 state
}

struct ViewT {
  1: i64 observer
  2: i64 incarnation
  3: i64 sequence
  4: list<i32> unreachable
}

union UpdateT {
  1: RecordT record
  2: ClaimT claim
  3: ViewT view
}

struct PingT {
  1: i32 number
  2: optional bool floor_wanted
}

struct AckT {
  1: i32 number
  // Absent when the sender itself is the subject.
  2: optional i64 subject
  3: optional i64 version_floor
}

struct PingRequestT {
  1: i32 number
  2: i64 target
}

struct DomainDigestT {
  1: i32 failure_domain
  2: binary digest
}

struct DigestOfferT {
  1: list<DomainDigestT> domains
}

struct DigestReplyT {
  // The digests of all buckets, 4 bytes each, big-endian.
  1: list<DomainDigestT> domains
}

struct StampT {
  1: i64 control
  2: i64 incarnation
  3: i64 sequence
  4: optional i8 state
}

struct BucketEntriesT {
  1: i32 failure_domain
  2: i32 buckets
  3: list<StampT> entries
}

struct RecordDeltaT {
  1: list<UpdateT> records
  2: list<i64> wanted
}

struct NoticeT {
  1: i64 version
  2: optional bool ack_wanted
}

struct NoticeAckT {
  1: i64 version
}

struct LogReportT {
  1: i64 version
  // Absent while the sender cannot read the log.
  2: optional i32 age_ms
  3: optional i64 log_epoch
}

union BodyT {
  1: PingT ping
  2: AckT ack
  3: PingRequestT ping_request
  4: DigestOfferT digest_offer
  5: DigestReplyT digest_reply
  6: BucketEntriesT bucket_entries
  7: RecordDeltaT record_delta
  8: NoticeT notice
  9: NoticeAckT notice_ack
  10: LogReportT log_report
  11: allowances.AllowanceAskT allowance_ask
  12: allowances.AllowanceGrantT allowance_grant
}

struct DatagramT {
  1: i64 sender
  2: optional i64 version
  3: i64 wall_ms
  4: optional i32 counter
  5: BodyT body
  6: optional list<UpdateT> updates
  7: optional list<string> names
}

struct SyncRequestT {
  1: RecordT member
  2: i64 version
  3: optional i32 failure_domain
  4: list<string> names
}

struct SyncTableT {
  1: i64 sender
  2: i64 version
  3: list<RecordT> members
  4: list<ViewT> views
  5: optional i64 previous_incarnation
  6: optional i64 version_floor
  7: list<string> names
}

struct SyncLaterT {
  1: i32 delay_ms
}

union SyncResponseT {
  1: SyncTableT table
  2: SyncLaterT later
}
