// Backend servers that left, told to peers and asked from them after a restart. Encoded with the compact protocol.
namespace cpp hemlockproxy.wire.gen

struct DepartureRecord {
  1: string backend
  // Milliseconds since 1970 by the backend server's clock; absent when its daemon did not know the start.
  2: optional i64 started_at_ms
  3: i64 age_ms
}

// The response to a report is a report with what the receiver knows of the owner.
struct DepartureReport {
  1: string owner
  2: list<DepartureRecord> records
  // How long the sender has been keeping departures; absent in a question.
  3: optional i64 memory_ms
}
