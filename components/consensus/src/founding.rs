//! Founds a new cluster once, and announces hosts that are no voters.
//!
//! A new cluster needs all of its voters: each has an empty log and was told to bootstrap. The
//! voter with the lowest id collects their disks and writes the first entry. A voter promises to
//! follow the newest disk of the founding host only, so that an old message founds nothing.

use std::collections::BTreeSet;

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
    settings::{HELLO_INTERVAL, MembershipPolicy},
};

/// What a host knows of a cluster to be founded.
pub(crate) struct Founding {
    bootstrap: bool,
    /// The newest disk of the founding host that this host has heard of.
    promised: Incarnation,
    /// The voters that follow this host's founding.
    ready: Vec<Member>,
    next_hello: Timestamp,
}

impl Founding {
    pub(crate) fn new(bootstrap: bool, promised: Incarnation) -> Self {
        Self { bootstrap, promised, ready: Vec::new(), next_hello: Timestamp::default() }
    }
}

/// Announces a host that is no voter, or has an empty log.
pub(crate) fn tick(replica: &mut Replica) {
    if !has_to_announce(replica) || replica.now < replica.founding.next_hello {
        return;
    }
    replica.founding.next_hello = replica.now + HELLO_INTERVAL;
    let hello = Hello { bootstrap: is_bootstrapping(replica), promised: replica.founding.promised };
    for host in hosts_to_ask(replica) {
        replica.send(host, ConsensusBody::Hello(hello.clone()));
    }
    found_if_ready(replica);
}

/// Whether this host is no voter, holds no log, or may have been removed while it was cut off.
fn has_to_announce(replica: &Replica) -> bool {
    let is_whole_voter = replica.is_voter() && !replica.log.is_empty();
    let may_be_removed = replica.settings.membership_policy != MembershipPolicy::Listed
        && !replica.heard_leader_lately();
    !is_whole_voter || may_be_removed
}

/// The hosts that may lead or know the leader.
fn hosts_to_ask(replica: &Replica) -> BTreeSet<HostId> {
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

/// Handles the messages that found a cluster.
pub(crate) fn handle(replica: &mut Replica, received: &Received) {
    match &received.body {
        ConsensusBody::Hello(hello) if hello.bootstrap => match is_bootstrapping(replica) {
            true => note_bootstrapping(replica, &received.from, hello),
            false => share_founding(replica, &received.from),
        },
        ConsensusBody::Found(members) => adopt(replica, members),
        _ => {}
    }
}

fn is_bootstrapping(replica: &Replica) -> bool {
    replica.founding.bootstrap && replica.log.is_empty()
}

fn founder(replica: &Replica) -> Option<HostId> {
    replica.settings.voters.iter().min().copied()
}

fn is_founder(replica: &Replica) -> bool {
    founder(replica) == Some(replica.me.host)
}

fn note_bootstrapping(replica: &mut Replica, from: &Member, hello: &Hello) {
    if founder(replica) == Some(from.host) {
        promise(replica, from.disk);
    }
    let may_found = replica.settings.voters.contains(&from.host);
    if !is_founder(replica) || !may_found || hello.promised != replica.disk() {
        return;
    }
    replica.founding.ready.retain(|it| it.host != from.host);
    replica.founding.ready.push(from.clone());
    found_if_ready(replica);
}

/// Promises to follow a disk of the founding host, unless a newer one has the promise.
fn promise(replica: &mut Replica, disk: Incarnation) {
    if disk > replica.founding.promised {
        replica.founding.promised = disk;
        replica.act(Action::Store(Record::Promise(disk)));
    }
}

fn found_if_ready(replica: &mut Replica) {
    if !is_founder(replica) || !is_bootstrapping(replica) {
        return;
    }
    let mut voters = replica.founding.ready.clone();
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

/// Tells a voter that missed the founding what was founded.
fn share_founding(replica: &mut Replica, from: &Member) {
    let Some(Entry { payload: Payload::Members(members), .. }) = replica.log.entry(LogIndex(1))
    else {
        return;
    };
    if is_voter(members, from) {
        let body = ConsensusBody::Found(members.clone());
        replica.send(from.host, body);
    }
}

fn adopt(replica: &mut Replica, members: &Members) {
    let founder_disk =
        founder(replica).and_then(|host| crate::members::voter(members, host)).map(|it| it.disk);
    let is_promised = founder_disk == Some(replica.founding.promised);
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
