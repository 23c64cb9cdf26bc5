//! Random malformed messages must not make a host panic or apply entries out of order.

use arbtest::arbitrary::{Result, Unstructured};
use consensus::{Action, Consensus, LeaseUse, MembershipPolicy, Settings};
use ids::{Blob, HostId, Incarnation, LogIndex, Millis, Term, Timestamp};
use schema::{
    consensus::{
        Append, AppendReply, AppendResult, ConsensusBody, ConsensusMessage, Entry, Hello,
        InstallReply, InstallSnapshot, Member, Members, Payload, Snapshot, Vote, VoteReply,
        VoteRequest, VotedFor,
    },
    storage::{Identity, Persisted},
};

const CASES: u64 = 2000;

/// Random input per case, in bytes; arbtest takes it from the low half of the seed.
const CASE_BYTES: u64 = 1500;

/// Returns mostly small numbers, and sometimes the largest one.
fn number(u: &mut Unstructured<'_>) -> Result<u64> {
    match u.int_in_range(0..=40)? {
        40 => Ok(u64::MAX),
        small => Ok(small % 8),
    }
}

fn index(u: &mut Unstructured<'_>) -> Result<LogIndex> {
    number(u).map(LogIndex)
}

fn term(u: &mut Unstructured<'_>) -> Result<Term> {
    u.int_in_range(0..=6).map(Term)
}

fn blob(u: &mut Unstructured<'_>) -> Result<Blob> {
    let len = u.int_in_range(0..=4)?;
    Ok(vec![7; len].into())
}

fn member(u: &mut Unstructured<'_>) -> Result<Member> {
    let host = u.int_in_range(1..=3)?;
    Ok(Member { host: HostId(host), disk: Incarnation(u64::from(host)) })
}

fn members(u: &mut Unstructured<'_>) -> Result<Members> {
    let count = u.int_in_range(0..=3)?;
    let voters = (1..=count).map(|it| Member { host: HostId(it), disk: Incarnation(it.into()) });
    Ok(Members { voters: voters.collect(), learners: vec![member(u)?] })
}

fn entry(u: &mut Unstructured<'_>, index: LogIndex) -> Result<Entry> {
    let payload = match u.int_in_range(0..=5)? {
        0 => Payload::Noop,
        1 => Payload::Members(members(u)?),
        _ => Payload::Data(blob(u)?),
    };
    Ok(Entry { index, term: term(u)?, payload })
}

fn entries(u: &mut Unstructured<'_>, prev: LogIndex) -> Result<Vec<Entry>> {
    let mut entries = Vec::new();
    for offset in 1..=u.int_in_range(0..=3)? {
        let next_index = LogIndex(prev.0.saturating_add(offset));
        let index = if u.ratio(1, 10)? { index(u)? } else { next_index };
        entries.push(entry(u, index)?);
    }
    Ok(entries)
}

fn append(u: &mut Unstructured<'_>) -> Result<Append> {
    let prev_index = index(u)?;
    let entries = entries(u, prev_index)?;
    let (prev_term, commit) = (term(u)?, index(u)?);
    Ok(Append { prev_index, prev_term, commit, entries, sent_us: number(u)? })
}

fn install(u: &mut Unstructured<'_>) -> Result<InstallSnapshot> {
    Ok(InstallSnapshot {
        index: index(u)?,
        snapshot_term: term(u)?,
        members: members(u)?,
        offset: number(u)?,
        total: number(u)?,
        data: blob(u)?,
        sent_us: number(u)?,
    })
}

fn body(u: &mut Unstructured<'_>) -> Result<ConsensusBody> {
    Ok(match u.int_in_range(0..=11)? {
        0 => ConsensusBody::Hello(Hello {
            bootstrap: u.arbitrary()?,
            promised: Incarnation(number(u)?),
        }),
        1 => ConsensusBody::Found(members(u)?),
        2 => ConsensusBody::VoteRequest(VoteRequest {
            pre: u.arbitrary()?,
            last_index: index(u)?,
            last_term: term(u)?,
        }),
        3..6 => {
            ConsensusBody::VoteReply(VoteReply { pre: u.arbitrary()?, granted: u.arbitrary()? })
        }
        6..8 => ConsensusBody::Append(append(u)?),
        8 => ConsensusBody::InstallSnapshot(install(u)?),
        9 => ConsensusBody::InstallReply(InstallReply {
            index: index(u)?,
            received: number(u)?,
            sent_us: number(u)?,
        }),
        _ => {
            let index = index(u)?;
            let result = match u.arbitrary()? {
                true => AppendResult::Matched(index),
                false => AppendResult::Mismatched(index),
            };
            ConsensusBody::AppendReply(AppendReply { result, sent_us: number(u)? })
        }
    })
}

fn restored_host(u: &mut Unstructured<'_>) -> Result<Consensus> {
    let voters: Vec<HostId> = (1..=3).map(HostId).collect();
    let initial_members = Members {
        voters: voters
            .iter()
            .map(|it| Member { host: *it, disk: Incarnation(it.0.into()) })
            .collect(),
        learners: Vec::new(),
    };
    let first =
        Entry { index: LogIndex(1), term: Term(1), payload: Payload::Members(initial_members) };
    let is_empty = u.ratio(1, 4)?;
    let members = Members { voters: Vec::new(), learners: Vec::new() };
    let data = Blob::default();
    let persisted = Persisted {
        identity: Identity { host: HostId(1), disk: Incarnation(1), bootstrap: is_empty },
        promised: Incarnation(0),
        vote: Vote { term: Term(1), voted_for: VotedFor::Nobody },
        snapshot: Snapshot { index: LogIndex(0), term: Term(0), members, data },
        entries: if is_empty { Vec::new() } else { vec![first] },
    };
    Ok(Consensus::restore(
        Settings {
            voters,
            seed: 1,
            membership_policy: MembershipPolicy::Listed,
            lease_use: LeaseUse::Reads,
        },
        persisted,
        Timestamp(0),
    ))
}

/// Sends random messages to a host and asserts that it applies entries in increasing order.
fn send_random_messages(u: &mut Unstructured<'_>) -> Result<()> {
    let mut host = restored_host(u)?;
    let mut now = Timestamp(0);
    let mut applied = LogIndex(0);
    while !u.is_empty() {
        now = now + Millis(u.int_in_range(0..=2000)?);
        let actions = match u.int_in_range(0..=9)? {
            0..3 => host.tick(now),
            3 => host.propose(now, blob(u)?).actions,
            4 => host.compact(applied, blob(u)?),
            _ => {
                let from = member(u)?;
                let term = term(u)?;
                let message = ConsensusMessage { term, disk: from.disk, body: body(u)? };
                host.handle(now, from.host, message)
            }
        };
        for action in actions {
            if let Action::Apply { index, .. } | Action::RestoreState { index, .. } = action {
                assert!(index > applied);
                applied = index;
            }
        }
    }
    Ok(())
}

#[test]
fn malformed_messages_cause_no_panic() {
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| {
            let _ = send_random_messages(u);
            Ok(())
        })
        .seed(seed)
        .run();
    }
}
