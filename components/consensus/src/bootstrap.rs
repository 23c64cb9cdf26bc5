//! Bootstraps a new cluster exactly once, and announces hosts that are not voters.
//!
//! All voters of a new cluster must take part, each with an empty log and the bootstrap flag. The
//! voter with the lowest id, the coordinator, collects their disk identities and writes the first
//! entry. Each voter promises to follow only the coordinator's newest disk, so that a delayed
//! message cannot bootstrap the cluster a second time.

use std::collections::{BTreeMap, BTreeSet};

use ids::{HostId, Incarnation, LogIndex, Term, Timestamp};
use schema::{
    consensus::{ConsensusBody, Entry, Hello, Member, Members, Payload, VotedFor},
    storage::Record,
};

use crate::{
    action::Action,
    members::is_voter,
    message::Received,
    replica::Replica,
    settings::{HELLO_INTERVAL, MISSING_AFTER, MembershipPolicy},
};

/// The state of a host during the bootstrap.
pub(crate) struct Bootstrap {
    /// Whether this host was told to take part in the bootstrap of a new cluster.
    is_requested: bool,
    /// The newest known disk of the coordinator, which this host has promised to follow.
    promised: Incarnation,
    /// On the coordinator, the voters that have promised to follow its disk.
    ready: Vec<Member>,
    /// When each other initial voter last announced that it takes part.
    heard: BTreeMap<HostId, Timestamp>,
    started_at: Timestamp,
    next_hello: Timestamp,
}

impl Bootstrap {
    pub(crate) fn new(is_requested: bool, promised: Incarnation, now: Timestamp) -> Self {
        Self {
            is_requested,
            promised,
            ready: Vec::new(),
            heard: BTreeMap::new(),
            started_at: now,
            next_hello: Timestamp::default(),
        }
    }
}

/// Announces this host periodically while [`must_announce`] holds.
///
/// Also bootstraps a cluster of a single voter, which receives no `Hello`.
pub(crate) fn tick(replica: &mut Replica) {
    if !must_announce(replica) || replica.now < replica.bootstrap.next_hello {
        return;
    }
    replica.bootstrap.next_hello = replica.now + HELLO_INTERVAL;
    let hello =
        Hello { bootstrap: is_bootstrapping(replica), promised: replica.bootstrap.promised };
    for host in announcement_targets(replica) {
        replica.send(host, ConsensusBody::Hello(hello.clone()));
    }
    bootstrap_if_ready(replica);
}

/// Returns whether this host is not a voter, has an empty log, or may have been removed during a
/// network partition.
fn must_announce(replica: &Replica) -> bool {
    let is_voter_with_log = replica.is_voter() && !replica.log.is_empty();
    let may_have_been_removed = replica.settings.membership_policy != MembershipPolicy::Listed
        && !replica.heard_leader_recently();
    !is_voter_with_log || may_have_been_removed
}

/// Returns the hosts that may be the leader or know it.
fn announcement_targets(replica: &Replica) -> BTreeSet<HostId> {
    let members = replica.log.members();
    let known = members.voters.iter().chain(&members.learners).map(|it| it.host);
    let mut hosts: BTreeSet<HostId> = replica.settings.voters.iter().copied().collect();
    if replica.settings.membership_policy != MembershipPolicy::Listed {
        hosts.extend(known);
        hosts.extend(&replica.contacts);
    }
    hosts.remove(&replica.me.host);
    hosts
}

/// Handles the messages of the bootstrap.
pub(crate) fn handle(replica: &mut Replica, received: &Received) {
    match &received.body {
        ConsensusBody::Hello(hello) if hello.bootstrap => match is_bootstrapping(replica) {
            true => handle_bootstrap_hello(replica, &received.from, hello),
            false => send_initial_members(replica, &received.from),
        },
        ConsensusBody::Found(members) => adopt_initial_members(replica, members),
        _ => {}
    }
}

fn is_bootstrapping(replica: &Replica) -> bool {
    replica.bootstrap.is_requested && replica.log.is_empty()
}

/// Returns the initial voters without which the cluster is not bootstrapped and that have not
/// announced recently that they take part.
pub(crate) fn missing_voters(replica: &Replica, now: Timestamp) -> Vec<HostId> {
    let voters = &replica.settings.voters;
    if !is_bootstrapping(replica) || !voters.contains(&replica.me.host) {
        return Vec::new();
    }
    let Bootstrap { heard, started_at, .. } = &replica.bootstrap;
    let is_missing = |host: &HostId| now >= *heard.get(host).unwrap_or(started_at) + MISSING_AFTER;
    let others = voters.iter().filter(|it| **it != replica.me.host);
    others.filter(|it| is_missing(it)).copied().collect()
}

fn coordinator(replica: &Replica) -> Option<HostId> {
    replica.settings.voters.iter().min().copied()
}

fn is_coordinator(replica: &Replica) -> bool {
    coordinator(replica) == Some(replica.me.host)
}

fn handle_bootstrap_hello(replica: &mut Replica, from: &Member, hello: &Hello) {
    if coordinator(replica) == Some(from.host) {
        promise(replica, from.disk);
    }
    let is_initial_voter = replica.settings.voters.contains(&from.host);
    if is_initial_voter {
        replica.bootstrap.heard.insert(from.host, replica.now);
    }
    if !is_coordinator(replica) || !is_initial_voter || hello.promised != replica.disk() {
        return;
    }
    replica.bootstrap.ready.retain(|it| it.host != from.host);
    replica.bootstrap.ready.push(from.clone());
    bootstrap_if_ready(replica);
}

/// Promises to follow a disk of the coordinator if it is newer than the promised one.
fn promise(replica: &mut Replica, disk: Incarnation) {
    if disk > replica.bootstrap.promised {
        replica.bootstrap.promised = disk;
        replica.push_action(Action::Store(Record::Promise(disk)));
    }
}

fn bootstrap_if_ready(replica: &mut Replica) {
    if !is_coordinator(replica) || !is_bootstrapping(replica) {
        return;
    }
    let mut voters = replica.bootstrap.ready.clone();
    voters.push(replica.me.clone());
    voters.sort_unstable_by_key(|it| it.host);
    let mut hosts = replica.settings.voters.clone();
    hosts.sort_unstable();
    if !voters.iter().map(|it| it.host).eq(hosts) {
        return;
    }
    let members = Members { voters, learners: Vec::new() };
    write_first_entry(replica, &members);
    for host in replica.settings.voters.clone() {
        if host != replica.me.host {
            replica.send(host, ConsensusBody::Found(members.clone()));
        }
    }
}

/// Sends the initial members to a voter that missed the bootstrap.
fn send_initial_members(replica: &mut Replica, from: &Member) {
    let Some(Entry { payload: Payload::Members(members), .. }) = replica.log.entry(LogIndex(1))
    else {
        return;
    };
    if is_voter(members, from) {
        let body = ConsensusBody::Found(members.clone());
        replica.send(from.host, body);
    }
}

fn adopt_initial_members(replica: &mut Replica, members: &Members) {
    let coordinator_disk = coordinator(replica)
        .and_then(|host| crate::members::find_voter(members, host))
        .map(|it| it.disk);
    let is_promised = coordinator_disk == Some(replica.bootstrap.promised);
    if is_bootstrapping(replica) && is_promised && is_voter(members, &replica.me) {
        write_first_entry(replica, members);
    }
}

fn write_first_entry(replica: &mut Replica, members: &Members) {
    let entry =
        Entry { index: LogIndex(1), term: Term(1), payload: Payload::Members(members.clone()) };
    if replica.vote.term < Term(1) {
        replica.save_vote(Term(1), VotedFor::Nobody);
    }
    replica.append(vec![entry]);
}
