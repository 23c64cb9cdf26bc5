//! Tests of a single host: messages that it must reject or ignore, and the order of its actions.

use consensus::{
    Action, Consensus, ELECTION_TIMEOUT_MIN, HEARTBEAT_INTERVAL, LeaseUse, MembershipPolicy,
    ProposeError, RETRY_INTERVAL, Settings,
};
use ids::{Blob, HostId, Incarnation, LogIndex, Millis, Term, Timestamp};
use schema::{
    consensus::{
        Append, AppendReply, AppendResult, ConsensusBody, ConsensusMessage, Entry, Hello,
        InstallSnapshot, Member, Members, Payload, Snapshot, Vote, VoteReply, VoteRequest,
        VotedFor,
    },
    storage::{Identity, Persisted, Record},
};

const ME: HostId = HostId(1);
const OTHER: HostId = HostId(2);
const START: Timestamp = Timestamp(1_000_000);

fn member(host: u32) -> Member {
    Member { host: HostId(host), disk: Incarnation(u64::from(host) * 10) }
}

fn no_members() -> Members {
    Members { voters: Vec::new(), learners: Vec::new() }
}

fn entry(index: u64, term: u64, payload: Payload) -> Entry {
    Entry { index: LogIndex(index), term: Term(term), payload }
}

fn data(value: u8) -> Payload {
    Payload::Data(Blob::from(vec![value]))
}

/// Returns the first entry of a log with three voters.
fn first_entry() -> Entry {
    let voters = (1..=3).map(member).collect();
    entry(1, 1, Payload::Members(Members { voters, learners: Vec::new() }))
}

fn persisted(entries: Vec<Entry>) -> Persisted {
    let term = entries.last().map_or(Term(0), |it| it.term);
    let data = Blob::default();
    Persisted {
        identity: Identity { host: ME, disk: member(1).disk, bootstrap: entries.is_empty() },
        promised: Incarnation(0),
        vote: Vote { term, voted_for: VotedFor::Nobody },
        snapshot: Snapshot { index: LogIndex(0), term: Term(0), members: no_members(), data },
        entries,
    }
}

fn start(entries: Vec<Entry>) -> Consensus {
    let settings = Settings {
        voters: (1..=3).map(HostId).collect(),
        seed: 1,
        membership_policy: MembershipPolicy::Listed,
        lease_use: LeaseUse::Reads,
    };
    Consensus::restore(settings, persisted(entries), START)
}

fn message(from: u32, term: u64, body: ConsensusBody) -> ConsensusMessage {
    ConsensusMessage { term: Term(term), disk: member(from).disk, body }
}

fn vote_request(term: u64) -> ConsensusMessage {
    let (last_index, last_term) = (LogIndex(100), Term(term));
    let request = VoteRequest { pre: false, last_index, last_term };
    message(2, term, ConsensusBody::VoteRequest(request))
}

fn vote_reply(pre: bool, term: u64) -> ConsensusMessage {
    message(2, term, ConsensusBody::VoteReply(VoteReply { pre, granted: true }))
}

fn matched(term: u64, index: u64, sent: Timestamp) -> ConsensusMessage {
    let result = AppendResult::Matched(LogIndex(index));
    message(2, term, ConsensusBody::AppendReply(AppendReply { result, sent_us: sent.0 }))
}

fn mismatched(term: u64, index: u64, sent: Timestamp) -> ConsensusMessage {
    let result = AppendResult::Mismatched(LogIndex(index));
    message(2, term, ConsensusBody::AppendReply(AppendReply { result, sent_us: sent.0 }))
}

fn append(term: u64, prev: &Entry, commit: u64, entries: Vec<Entry>) -> ConsensusMessage {
    let body = ConsensusBody::Append(Append {
        prev_index: prev.index,
        prev_term: prev.term,
        commit: LogIndex(commit),
        entries,
        sent_us: 0,
    });
    message(2, term, body)
}

fn hello(from: u32, promised: u64) -> ConsensusMessage {
    let hello = Hello { bootstrap: true, promised: Incarnation(promised) };
    message(from, 0, ConsensusBody::Hello(hello))
}

fn after_election_timeout() -> Timestamp {
    START + Millis(ELECTION_TIMEOUT_MIN.0 * 2 + 1)
}

/// Starts a host with this log and elects it leader of the next term with the votes of host 2.
fn elect_leader(entries: Vec<Entry>) -> Consensus {
    let term = entries.last().unwrap().term.0 + 1;
    let now = after_election_timeout();
    let mut leader = start(entries);
    leader.tick(now);
    leader.handle(now, OTHER, vote_reply(true, term));
    leader.handle(now, OTHER, vote_reply(false, term));
    assert!(leader.is_leader());
    leader
}

fn grants_vote(actions: &[Action]) -> bool {
    actions.iter().any(|it| match it {
        Action::Send { message, .. } => {
            matches!(&message.body, ConsensusBody::VoteReply(reply) if reply.granted)
        }
        _ => false,
    })
}

fn applied(actions: &[Action]) -> Vec<LogIndex> {
    let index = |it: &Action| match it {
        Action::Apply { index, .. } => Some(*index),
        _ => None,
    };
    actions.iter().filter_map(index).collect()
}

#[test]
fn a_host_with_an_empty_log_grants_no_vote() {
    let now = after_election_timeout();

    let empty = start(Vec::new()).handle(now, OTHER, vote_request(2));
    let non_empty = start(vec![first_entry()]).handle(now, OTHER, vote_request(2));

    assert!(!grants_vote(&empty));
    assert!(grants_vote(&non_empty));
}

#[test]
fn a_restarted_host_grants_no_vote_while_a_lease_may_be_valid() {
    let mut host = start(vec![first_entry()]);

    let early = host.handle(START + Millis(ELECTION_TIMEOUT_MIN.0 - 1), OTHER, vote_request(2));
    let late = host.handle(START + ELECTION_TIMEOUT_MIN, OTHER, vote_request(2));

    assert!(!grants_vote(&early));
    assert!(grants_vote(&late));
}

#[test]
fn entries_of_earlier_terms_are_committed_only_with_one_of_the_current_term() {
    let mut leader = elect_leader(vec![first_entry(), entry(2, 2, data(7))]);
    let now = after_election_timeout();

    let earlier = leader.handle(now, OTHER, matched(3, 2, now));
    let current = leader.handle(now, OTHER, matched(3, 3, now));

    assert_eq!(applied(&earlier), []);
    assert_eq!(applied(&current), [LogIndex(2)]);
}

#[test]
fn replies_from_an_earlier_term_are_ignored() {
    let mut leader = elect_leader(vec![first_entry(), entry(2, 2, data(7))]);
    let now = after_election_timeout();

    let actions = leader.handle(now, OTHER, matched(2, 3, now));

    assert_eq!(applied(&actions), []);
    assert!(leader.lease_read_index(now).is_err());
}

#[test]
fn a_follower_applies_only_entries_that_match_the_leaders_log() {
    let log = vec![first_entry(), entry(2, 1, data(1)), entry(3, 1, data(2))];
    let mut follower = start(log.clone());

    let actions = follower.handle(START, OTHER, append(2, &log[1], 3, Vec::new()));

    assert_eq!(applied(&actions), [LogIndex(2)]);
}

#[test]
fn a_follower_grants_no_vote_in_the_term_of_its_leader() {
    let mut follower = start(vec![first_entry()]);
    follower.handle(START, HostId(3), append(2, &first_entry(), 0, Vec::new()));

    let actions = follower.handle(after_election_timeout(), OTHER, vote_request(2));

    assert!(!grants_vote(&actions));
}

#[test]
fn the_bootstrap_coordinator_waits_for_promises_to_its_current_disk() {
    let mut coordinator = start(Vec::new());
    coordinator.handle(START, OTHER, hello(2, 10));

    coordinator.handle(START, HostId(3), hello(3, 9));
    assert_eq!(coordinator.last_index(), LogIndex(0));
    coordinator.handle(START, HostId(3), hello(3, 10));
    assert_eq!(coordinator.last_index(), LogIndex(1));
}

#[test]
fn a_host_that_waits_for_the_bootstrap_knows_the_missing_voters() {
    let second = START + Millis(1_000);
    let fifth = START + Millis(5_000);
    let mut waiting = start(Vec::new());
    assert_eq!(waiting.missing_initial_voters(second), [], "it has just started");

    waiting.handle(fifth, OTHER, hello(2, 10));

    assert_eq!(waiting.missing_initial_voters(fifth), [HostId(3)]);
    let later = fifth + Millis(5_000);
    assert_eq!(waiting.missing_initial_voters(later), [OTHER, HostId(3)]);
}

#[test]
fn a_host_that_takes_part_in_no_bootstrap_waits_for_no_voter() {
    let later = START + Millis(60_000);
    let mut bootstrapped = start(Vec::new());
    bootstrapped.handle(START, OTHER, hello(2, 10));
    bootstrapped.handle(START, HostId(3), hello(3, 10));

    assert_eq!(bootstrapped.missing_initial_voters(later), []);
    assert_eq!(start(vec![first_entry()]).missing_initial_voters(later), []);
}

#[test]
fn a_voter_bootstraps_only_with_the_promised_disk_of_the_coordinator() {
    let settings = Settings {
        voters: (1..=3).map(HostId).collect(),
        seed: 1,
        membership_policy: MembershipPolicy::Listed,
        lease_use: LeaseUse::Reads,
    };
    let mut disk = persisted(Vec::new());
    disk.identity.host = HostId(3);
    disk.identity.disk = member(3).disk;
    disk.promised = Incarnation(11);
    let mut voter = Consensus::restore(settings, disk, START);
    let found = |disk: u64| {
        let coordinator = Member { host: ME, disk: Incarnation(disk) };
        let members =
            Members { voters: vec![coordinator, member(2), member(3)], learners: Vec::new() };
        message(1, 1, ConsensusBody::Found(members))
    };

    voter.handle(START, ME, found(10));
    assert_eq!(voter.last_index(), LogIndex(0));
    voter.handle(START, ME, found(11));
    assert_eq!(voter.last_index(), LogIndex(1));
}

#[test]
fn a_voter_that_lost_acknowledged_entries_is_demoted_to_a_learner() {
    let mut leader = elect_leader(vec![first_entry()]);
    let now = after_election_timeout();
    leader.handle(now, OTHER, matched(2, 2, now));
    let later = now + Millis(200);

    leader.handle(later, OTHER, mismatched(2, 1, now));
    leader.tick(later);
    assert!(leader.members().learners.is_empty(), "a reordered reply is no evidence of a loss");
    leader.handle(
        later,
        HostId(3),
        ConsensusMessage { disk: member(3).disk, ..matched(2, 2, later) },
    );
    leader.handle(later, OTHER, mismatched(2, 1, later));
    leader.tick(later);

    assert_eq!(leader.members().learners, [member(2)]);
}

#[test]
fn a_conflicting_log_is_truncated_on_disk_before_a_snapshot_is_saved() {
    let log = vec![first_entry(), entry(2, 2, data(1)), entry(3, 2, data(2)), entry(4, 2, data(3))];
    let mut follower = start(log);
    let Entry { payload: Payload::Members(members), .. } = first_entry() else { unreachable!() };
    let install = InstallSnapshot {
        index: LogIndex(3),
        snapshot_term: Term(3),
        members,
        offset: 0,
        total: 4,
        data: Blob::from(vec![1; 4]),
        sent_us: 0,
    };

    let body = ConsensusBody::InstallSnapshot(install);
    let actions = follower.handle(START, OTHER, message(2, 3, body));

    let position = |wanted: fn(&Action) -> bool| actions.iter().position(wanted).unwrap();
    let truncated = position(|it| *it == Action::Store(Record::Truncate(LogIndex(3))));
    let saved = position(|it| matches!(it, Action::SaveSnapshot(_)));
    let sent = position(|it| matches!(it, Action::Send { .. }));
    assert!(truncated < saved && saved < sent, "{actions:?}");
    assert_eq!(follower.last_index(), LogIndex(3));
}

#[test]
fn a_voter_whose_removal_is_uncommitted_requests_votes() {
    let without_me = Members { voters: vec![member(2), member(3)], learners: Vec::new() };
    let mut host = start(vec![first_entry(), entry(2, 1, Payload::Members(without_me))]);

    let actions = host.tick(after_election_timeout());

    let requests_vote = |it: &Action| {
        matches!(it, Action::Send { message, .. }
        if matches!(message.body, ConsensusBody::VoteRequest(_)))
    };
    assert!(actions.iter().any(requests_vote));
}

#[test]
fn a_membership_change_without_a_reachable_majority_is_rejected() {
    let mut leader = elect_leader(vec![first_entry()]);
    let now = after_election_timeout();
    leader.handle(now, OTHER, matched(2, 2, now));

    let rejected = leader.remove_voter(now, OTHER).outcome;
    let proposed = leader.remove_voter(now, HostId(3)).outcome;

    assert_eq!(rejected, Err(ProposeError::MajorityUnreachable));
    assert_eq!(proposed, Ok(LogIndex(3)));
}

#[test]
fn an_unresponsive_member_gets_no_entries() {
    let mut leader = elect_leader(vec![first_entry()]);
    let now = after_election_timeout();
    leader.handle(now, OTHER, matched(2, 2, now));
    leader.propose(now, Blob::from(vec![1; 1000]));

    let actions = leader.tick(now + HEARTBEAT_INTERVAL);

    let sent_entries = |to: HostId| {
        let sent = |it: &Action| match it {
            Action::Send { to: host, message } if *host == to => match &message.body {
                ConsensusBody::Append(append) => append.entries.len(),
                _ => 0,
            },
            _ => 0,
        };
        actions.iter().map(sent).sum::<usize>()
    };
    assert_eq!(sent_entries(HostId(3)), 0);
    assert_eq!(sent_entries(OTHER), 0, "the entries are already in flight");
    let later = leader.tick(now + Millis(RETRY_INTERVAL.0 + HEARTBEAT_INTERVAL.0 / 2));
    assert!(later.iter().any(|it| matches!(it, Action::Send { to: OTHER, message }
        if matches!(&message.body, ConsensusBody::Append(append) if append.entries.len() == 1))));
}

/// Guards against a cluster that has no leader for two election timeouts after a split vote.
#[test]
fn a_failed_campaign_is_repeated_soon_and_then_more_and_more_rarely() {
    let mut host = start(vec![first_entry()]);
    let mut campaigns = Vec::new();

    for millis in (0..20_000).step_by(50) {
        let now = after_election_timeout() + Millis(millis);
        if !host.tick(now).is_empty() {
            campaigns.push(now);
        }
    }

    let gaps: Vec<Millis> = campaigns.windows(2).map(|it| it[1].since(it[0])).collect();
    assert!(gaps[0] < Millis(ELECTION_TIMEOUT_MIN.0 / 2), "{gaps:?}");
    assert!(gaps.iter().skip(3).all(|it| *it >= ELECTION_TIMEOUT_MIN), "{gaps:?}");
}
