// Shares of customers' allowances, lent between daemons. Encoded with the compact protocol, as bodies of control
// datagrams.
namespace cpp hemlockproxy.wire.gen

struct AllowanceStampT {
  1: i64 epoch
  // Milliseconds of the clock of the process that the stamp belongs to.
  2: i64 time_ms
}

struct AllowanceDemandT {
  1: string customer
  2: double per_second
  3: optional i32 tokens
}

struct AllowanceAskT {
  // 1: lender of a failure domain, 2: root lender.
  1: i8 level
  2: AllowanceStampT stamp
  // Absent until the lender has answered.
  3: optional AllowanceStampT echo
  4: optional double pledge
  5: list<AllowanceDemandT> demands
}

struct AllowanceLoanT {
  1: string customer
  2: optional double share
  3: optional i32 tokens
  4: optional bool exhausted
}

struct AllowanceGrantT {
  1: i8 level
  2: AllowanceStampT stamp
  3: AllowanceStampT echo
  4: list<AllowanceLoanT> loans
}
