// Records of the log stream "config" and the resources inside them. Encoded with the compact protocol.
namespace cpp hemlockproxy.wire.gen

struct WeightedTarget {
  1: string service_name
  2: i32 weight
}

struct Route {
  1: string prefix
  2: list<string> methods
  3: string target
  4: optional bool repeatable
  5: bool key_required
  6: i64 timeout_ms
  7: optional string host
  8: optional string name
  9: optional list<WeightedTarget> split
  10: optional i32 priority
  11: optional i64 latency_target_ms
  12: optional i32 attempts
  13: optional bool is_public
}

struct Resource {
  1: string service_name
  2: list<Route> routes
  // Limit kinds as numbered by model::LimitKind.
  3: map<i8, i64> limits
  4: i32 retry_attempts
  5: i32 retry_budget_percent
  6: optional string health_path
  7: optional i32 connections
}

struct Publish {
  1: string id
  2: i64 base_version
  3: string publisher
  4: list<Resource> resources
}

struct Customer {
  1: string name
  // The hashes of the customer's keys, 16 bytes each, big-endian, one after the other.
  2: binary keys
  3: optional i32 priority
  4: double rate_per_second
  5: double burst
}

struct LimitFloor {
  1: string service_name
  2: i8 kind
  3: i64 value
}

struct Publication {
  1: string id
  2: i64 version
}

struct Checkpoint {
  1: i64 covered_offset
  2: i64 version
  3: list<Resource> resources
  4: list<LimitFloor> floors
  5: list<Publication> recent
}

union ConfigRecord {
  1: Publish publish
  2: Checkpoint checkpoint
}
