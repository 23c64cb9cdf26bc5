//! Control hosts of a simulated fleet.

use std::collections::BTreeMap;

use consensus::{LeaseUse, MembershipPolicy, Settings};
use ids::{Blob, HostId, Incarnation, LogIndex, Millis, RequestId, Term};
use registry::{Answer, HostAction, HostEvent, RegistryHost, RegistryHostSettings, Request};
use schema::{
    announcement::Announcement,
    consensus::{Members, Snapshot, Vote, VotedFor},
    peer::PeerMessage,
    storage::{Identity, Persisted, Record},
};

use super::{CONTROL_HOSTS, clock, place};
use crate::common::{data_centre, region};

/// A control host: its disk, and its process while it runs.
pub struct ControlHost {
    host: HostId,
    disk: Persisted,
    is_disk_full: bool,
    process: Option<RegistryHost>,
    started_at: u64,
    starts: u64,
    /// Seed of the election timeouts.
    seed: u64,
    next_request: u64,
    announced: Vec<(RequestId, Announcement)>,
    accepted: Vec<Announcement>,
    /// Answers to the requests of [`Self::request`].
    pub answers: BTreeMap<RequestId, Answer>,
}

impl ControlHost {
    /// Starts a control host of a new fleet.
    pub fn start_new(host: HostId, now: u64, seed: u64) -> Self {
        let members = Members { voters: Vec::new(), learners: Vec::new() };
        let disk = Persisted {
            identity: Identity { host, disk: Incarnation(u64::from(host.0)), bootstrap: true },
            promised: Incarnation(0),
            vote: Vote { term: Term(0), voted_for: VotedFor::Nobody },
            snapshot: Snapshot {
                index: LogIndex(0),
                term: Term(0),
                members,
                data: Blob::default(),
            },
            entries: Vec::new(),
        };
        let mut control = Self {
            host,
            disk,
            is_disk_full: false,
            process: None,
            started_at: now,
            starts: 0,
            seed,
            next_request: 0,
            announced: Vec::new(),
            accepted: Vec::new(),
            answers: BTreeMap::new(),
        };
        control.set_running(now, true);
        control
    }

    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.starts)
    }

    /// Starts or ends the process.
    pub fn set_running(&mut self, now: u64, is_running: bool) {
        if !is_running {
            self.process = None;
            return;
        }
        if self.process.is_some() {
            return;
        }
        self.starts += 1;
        self.started_at = now;
        self.announced.clear();
        let regions = ["north-a", "north-b", "south-a"];
        let settings = RegistryHostSettings {
            consensus: Settings {
                voters: CONTROL_HOSTS.take(3).map(HostId).collect(),
                seed: self.seed + self.starts,
                membership_policy: MembershipPolicy::Open {
                    min_voters: 3,
                    remove_after: Millis(8_000),
                },
                lease_use: LeaseUse::Advisory,
            },
            place: place(self.host),
            regions: regions.map(|it| (data_centre(it), region(it))).into_iter().collect(),
            incarnation: self.incarnation(),
            is_new_fleet: self.starts == 1,
        };
        let now = clock(self.host, self.started_at, now);
        self.process = Some(RegistryHost::restore(settings, self.disk.clone(), now));
    }

    /// Fills the disk or makes room on it; returns the messages that the process sends then.
    pub fn set_disk_full(&mut self, now: u64, is_full: bool) -> Vec<(HostId, PeerMessage)> {
        let had_no_room = std::mem::replace(&mut self.is_disk_full, is_full);
        let now = clock(self.host, self.started_at, now);
        let Some(process) = self.process.as_mut() else { return Vec::new() };
        if is_full || !had_no_room || !process.status(now).is_read_only {
            return Vec::new();
        }
        let actions = process.disk_recovered(now, self.disk.clone());
        self.execute(now, actions)
    }

    pub fn on_message(
        &mut self,
        now: u64,
        from: HostId,
        incarnation: Incarnation,
        message: PeerMessage,
    ) -> Vec<(HostId, PeerMessage)> {
        self.handle(now, HostEvent::Peer { from, incarnation, message })
    }

    pub fn tick(&mut self, now: u64) -> Vec<(HostId, PeerMessage)> {
        self.handle(now, HostEvent::Tick)
    }

    pub fn announce(&mut self, now: u64, announcement: Announcement) -> Vec<(HostId, PeerMessage)> {
        if self.announced.iter().any(|(_, it)| *it == announcement) {
            return Vec::new();
        }
        self.next_request += 1;
        let id = RequestId(self.next_request);
        self.announced.push((id, announcement.clone()));
        self.handle(now, HostEvent::Request { id, request: Request::Announce(announcement) })
    }

    /// Sends a request; returns its id and the messages that the process sends then.
    pub fn request(
        &mut self,
        now: u64,
        request: Request,
    ) -> (RequestId, Vec<(HostId, PeerMessage)>) {
        self.next_request += 1;
        let id = RequestId(self.next_request);
        (id, self.handle(now, HostEvent::Request { id, request }))
    }

    /// Takes the announcements that were accepted.
    pub fn take_accepted(&mut self) -> Vec<Announcement> {
        std::mem::take(&mut self.accepted)
    }

    fn handle(&mut self, now: u64, event: HostEvent) -> Vec<(HostId, PeerMessage)> {
        let now = clock(self.host, self.started_at, now);
        let Some(process) = self.process.as_mut() else { return Vec::new() };
        let actions = process.handle(now, event);
        self.execute(now, actions)
    }

    fn execute(
        &mut self,
        now: ids::Timestamp,
        actions: Vec<HostAction>,
    ) -> Vec<(HostId, PeerMessage)> {
        let mut sent = Vec::new();
        for action in actions {
            match action {
                HostAction::Store(_) | HostAction::SaveSnapshot(_) if self.is_disk_full => {
                    let Some(process) = self.process.as_mut() else { return sent };
                    let actions = process.disk_failed(now, self.disk.clone());
                    sent.extend(self.execute(now, actions));
                    return sent;
                }
                HostAction::Store(record) => self.store(record),
                HostAction::SaveSnapshot(snapshot) => {
                    self.disk.entries.retain(|it| it.index > snapshot.index);
                    self.disk.snapshot = snapshot;
                }
                HostAction::Send { to, message } => sent.push((to, message)),
                HostAction::Answer { id, answer } => self.record_answer(id, &answer),
            }
        }
        sent
    }

    fn record_answer(&mut self, id: RequestId, answer: &Answer) {
        let Some(i) = self.announced.iter().position(|(it, _)| *it == id) else {
            self.answers.insert(id, answer.clone());
            return;
        };
        let (_, announcement) = self.announced.swap_remove(i);
        if matches!(answer, Answer::AnnouncementAccepted { .. }) {
            self.accepted.push(announcement);
        }
    }

    fn store(&mut self, record: Record) {
        match record {
            Record::Reset(_) => self.disk.entries.clear(),
            Record::Promise(promised) => self.disk.promised = promised,
            Record::Vote(vote) => self.disk.vote = vote,
            Record::Append(entries) => self.disk.entries.extend(entries),
            Record::Truncate(from) => self.disk.entries.retain(|it| it.index < from),
        }
    }
}
