/**
 * Protocol between daemons: one call that carries one typed message.
 * Framed transport, binary protocol. Fields match bronzemoor_core.messages by name.
 */
namespace py peer

struct LogEntry { 1: i64 index, 2: i64 term, 3: binary command }
struct PreVote { 1: i64 term, 2: i64 last_index, 3: i64 last_term, 4: string identity }
struct PreVoteReply { 1: i64 term, 2: bool granted, 3: string identity }
struct Vote { 1: i64 term, 2: i64 last_index, 3: i64 last_term, 4: string identity }
struct VoteReply { 1: i64 term, 2: bool granted, 3: string identity }
struct AppendEntries {
  1: i64 term, 2: i64 previous_index, 3: i64 previous_term,
  4: list<LogEntry> entries, 5: i64 commit_index, 6: i64 round_id
}
struct AppendEntriesReply {
  1: i64 term, 2: bool success, 3: i64 match_index, 4: i64 round_id, 5: string identity
}
struct InstallSnapshot {
  1: i64 term, 2: i64 last_index, 3: i64 last_term, 4: i64 offset, 5: i64 total,
  6: binary chunk, 7: i64 checksum
}
struct InstallSnapshotReply { 1: i64 term, 2: i64 last_index, 3: i64 received, 4: string identity }
struct Propose { 1: string proposal_id, 2: binary command }
struct ProposeReply { 1: string proposal_id, 2: string code, 3: string message, 4: binary result }
struct Suspicion { 1: string database, 2: string member, 3: string detector, 4: i64 term, 5: i32 age_ms }
struct Demand { 1: string database, 2: string organisation, 3: i32 held, 4: i32 wanted, 5: i32 share }
struct MemberSummary {
  1: string database, 2: string member, 3: string address, 4: string data_centre,
  5: string role, 6: i64 term, 7: i64 offset, 8: i64 incarnation, 9: list<string> members,
  10: bool leaving, 11: i32 slots, 12: i32 connections, 13: map<i64, i64> history,
  14: list<string> unreachable, 15: i32 age_ms
}
struct Heartbeat {
  1: i64 incarnation, 2: string data_centre, 3: i64 sequence, 4: map<string, i64> versions,
  5: list<Demand> demands, 6: list<Suspicion> suspicions, 7: list<MemberSummary> members,
  8: list<string> subscriptions, 9: bool draining, 10: i64 acknowledged
}
struct Share { 1: string database, 2: i32 connections, 3: i32 lease_ms }
struct HeartbeatReply {
  1: i64 sequence, 2: string leader, 3: list<Share> shares, 4: map<string, i64> versions,
  5: i64 topology_digest
}
struct DatabaseState {
  1: string database, 2: i64 term, 3: string primary, 4: bool fenced,
  5: map<i64, i64> history, 6: i64 version
}
struct TopologyUpdate { 1: bool full, 2: list<DatabaseState> databases, 3: list<MemberSummary> members }
struct TemplateVersion { 1: string organisation, 2: i64 version, 3: binary body }
struct ConfigurationUpdate { 1: list<TemplateVersion> templates, 2: i64 digest, 3: list<string> keys }
struct ConfigurationAcknowledged { 1: map<string, i64> versions }

struct JoinRequest { 1: string identity, 2: i64 incarnation }
struct MemberView {
  1: string member, 2: string address, 3: string zone, 4: bool leaving, 5: bool primary, 6: map<string, i32> shares
}
struct GroupView {
  1: string group, 2: i64 term, 3: string primary, 4: list<MemberView> members, 5: i32 connections,
  6: bool shared
}
struct GroupReport {
  1: string group, 2: string member, 3: i64 term, 4: i64 failing_ms, 5: i64 succeeded_ms,
  6: i64 stalled_ms, 7: i64 acknowledged_term, 8: i64 acknowledged_offset, 9: list<string> unreachable,
  10: i64 sample_term, 11: i64 sample_offset, 12: i64 sample_after_ms, 13: i64 committed_ms,
  14: i64 refused_ms, 15: list<i32> loads, 16: list<i32> uses
}
struct PositionSample { 1: string group, 2: i64 term, 3: i64 offset, 4: i64 age_ms }
struct QuotaReport {
  1: string organisation, 2: i64 spent, 3: i64 returned, 4: i64 wanted, 5: i64 waiting,
  6: i64 carried, 7: list<i64> history, 8: i64 calm_term
}
struct QuotaGrant { 1: string organisation, 2: i64 granted, 3: i64 tokens, 4: i32 exhausted_ms }
struct ProxyReport {
  1: i64 incarnation, 2: i64 sequence, 3: i64 deployment_version, 4: i64 topology_version,
  5: bool draining, 6: list<GroupReport> groups, 7: i64 last_grant,
  8: string zone, 9: i64 proxies_version, 10: list<QuotaReport> quotas, 11: bool accepts_deltas,
  12: bool checks_keys
}
struct ProxyGrant {
  1: i64 sequence, 2: string leader, 3: i32 lease_ms, 4: i64 deployment_version,
  5: binary deployment, 6: i64 topology_version, 7: list<GroupView> groups,
  8: list<string> controls, 9: list<PositionSample> samples, 10: i64 number,
  11: list<string> proxies, 12: i64 proxies_version, 13: list<QuotaGrant> quotas,
  14: list<i32> loads, 15: i64 deployment_base
}
struct RelayOpen {
  1: i64 channel, 2: string group, 3: string member, 4: i32 priority, 5: i32 timeout_ms,
  6: string caller, 7: i32 caller_priority, 8: bool started
}
struct RelayStatus {
  1: i64 channel, 2: string state, 3: string reason, 4: string member, 5: i64 failing_ms,
  6: i32 in_progress
}
struct RelayStatement {
  1: i64 channel, 2: i64 number, 3: binary query_id, 4: binary text, 5: i64 required_term,
  6: i64 required_offset, 7: bool prepared, 8: bool writes, 9: binary shape,
  10: bool sets_values, 11: map<binary, binary> values,
  12: i64 leading_term, 13: bool own_commit
}
struct RelayAnswer { 1: i64 channel, 2: i64 number, 3: binary answer, 4: string reason, 5: i32 in_progress }
struct RelayClose { 1: i64 channel, 2: bool clean }

union Message {
  1: PreVote pre_vote, 2: PreVoteReply pre_vote_reply, 3: Vote vote, 4: VoteReply vote_reply,
  5: AppendEntries append_entries, 6: AppendEntriesReply append_entries_reply,
  7: InstallSnapshot install_snapshot, 8: InstallSnapshotReply install_snapshot_reply,
  9: Propose propose, 10: ProposeReply propose_reply, 11: Heartbeat heartbeat,
  12: HeartbeatReply heartbeat_reply, 13: TopologyUpdate topology_update,
  14: ConfigurationUpdate configuration_update,
  15: ConfigurationAcknowledged configuration_acknowledged,
  16: JoinRequest join_request, 17: ProxyReport proxy_report, 18: ProxyGrant proxy_grant,
  19: RelayOpen relay_open, 20: RelayStatus relay_status, 21: RelayStatement relay_statement,
  22: RelayAnswer relay_answer, 23: RelayClose relay_close
}

struct Envelope {
  1: string sender, 2: string recipient, 3: i32 version, 4: string trace_context,
  5: Message message,
  /** The sender decompresses frames that it receives on this connection. */
  6: bool accepts_compression
}

exception Rejected { 1: string code, 2: string message }

service Peer {
  /** Takes messages for the recipient; the answer only says that they were decoded. */
  void deliver(1: list<Envelope> envelopes) throws (1: Rejected rejected),
}
