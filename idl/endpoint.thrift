/**
 * Protocol between a daemon and a database endpoint, and between the members of a
 * database group. Framed transport, binary protocol.
 */
namespace py endpoint

enum Status {
  OK = 0,
  /** Refused before execution: nothing ran. */
  REFUSED = 1,
  /** The statements ran, failed and were rolled back as a whole. */
  FAILED = 2,
}

/** A place in the log of a database group. */
struct Position {
  1: i64 term,
  2: i64 offset,
}

/** One SQL statement; `params` is a JSON array. */
struct Statement {
  1: string sql,
  2: binary params,
}

struct Hello {
  1: i64 correlation_id,
  /** Name of the daemon that opens the connection. */
  2: string client,
  3: string database,
}

struct Execute {
  1: i64 correlation_id,
  2: string request_id,
  /** Digest of the caller's request body; a known request id with another digest is refused. */
  3: string digest,
  4: list<Statement> statements,
  /** A writing statement is refused before execution when set. */
  5: bool read_only,
  /** Records the result under `request_id` in the same transaction. */
  6: bool recorded,
  /** Set when `reserve` was called before: the statements run once, for this reservation only. */
  7: optional string reservation,
  8: optional string transaction_id,
  9: Position min_position,
  /** How long the member may wait to reach `min_position`, in milliseconds. */
  10: i32 wait_ms,
  11: i32 deadline_ms,
}

/** Reserves a request id, or finds who reserved it and the recorded result. */
struct Reserve {
  1: i64 correlation_id,
  2: string request_id,
  3: string digest,
  4: string reservation,
}

/** Asks about a request id or a position; used by `lookup` and `confirm`. */
struct Query {
  1: i64 correlation_id,
  2: string request_id,
  3: Position position,
  4: i32 wait_ms,
  5: string digest,
}

struct TransactionCall {
  1: i64 correlation_id,
  2: string request_id,
  3: string transaction_id,
  4: string digest,
  5: bool recorded,
  6: Position min_position,
  7: i32 wait_ms,
}

/** Orders `fence`, `promote` and `follow`; refused when `term` is older than the member's. */
struct Order {
  1: i64 correlation_id,
  2: i64 term,
  3: string primary,
  /** Offset at which `term` starts, for `promote` and `follow`. */
  4: i64 start_offset,
  /** host:port of each member by name. */
  5: map<string, string> members,
}

struct Reply {
  1: i64 correlation_id,
  2: string request_id,
  3: Status status,
  4: string code,
  5: string message,
  6: i64 term,
  7: i64 offset,
  /** Highest offset of this term that a majority of members holds. */
  8: i64 majority_offset,
  /** Milliseconds since a majority last confirmed this member as primary; -1 for a replica. */
  9: i32 confirmed_ago_ms,
  /** JSON: a list with one {"columns", "rows", "row_count"} per statement. */
  10: binary payload,
  11: i32 length,
  /** CRC-32 of the payload. */
  12: i64 checksum,
  13: string member,
  14: string role,
  /** The result was recorded by an earlier attempt. */
  15: bool repeated,
  16: string transaction_id,
  /** Start offset by term, for `fence` and `ping`. */
  17: map<i64, i64> history,
  18: bool leaving,
}

struct LogEntry {
  1: i64 term,
  2: i64 offset,
  /** JSON list of the statements with their parameters, and the request record. */
  3: binary body,
}

struct Replicate {
  1: i64 term,
  2: string primary,
  3: Position previous,
  4: list<LogEntry> entries,
  5: i64 majority_offset,
  6: map<i64, i64> history,
}

struct ReplicateReply {
  1: bool accepted,
  2: i64 term,
  3: i64 offset,
}

service Endpoint {
  Reply hello(1: Hello call),
  Reply execute(1: Execute call),
  Reply begin(1: TransactionCall call),
  Reply commit(1: TransactionCall call),
  Reply rollback(1: TransactionCall call),
  Reply reserve(1: Reserve call),
  Reply confirm(1: Query call),
  Reply lookup(1: Query call),
  Reply ping(1: Query call),
  Reply fence(1: Order call),
  Reply promote(1: Order call),
  Reply follow(1: Order call),
  ReplicateReply replicate(1: Replicate call),
}
