//! Backend servers of a simulated fleet.

use std::collections::BTreeMap;

use gateway_core::{AttemptEnd, AttemptStart, LimitNotice, ServerNotice};
use ids::{HostId, Incarnation, LimitRate, Millis, RequestId};
use schema::announcement::{Announcement, ServerState};

use super::{Sent, checks::Checks, place};
use crate::common::server;

pub const SERVERS: u64 = 12;

/// Milliseconds that a pausing server asks for.
pub const PAUSE: u64 = 2_000;

/// How an attempt ends that the server refused without running it.
const REFUSED: AttemptEnd = AttemptEnd::Shed;

/// A gateway's process.
pub type Origin = (HostId, Incarnation);

/// What a server does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Sound,
    /// Names a limit in its responses.
    Limited(LimitRate),
    /// Says that it leaves, and announces that a while later.
    Leaving,
    /// Runs nothing and asks for a pause.
    Pausing,
    /// Runs requests and breaks their connections.
    Losing,
    /// Takes a second.
    Slow,
    /// Takes no connections; comes back as a new process.
    Down,
}

struct Server {
    mode: Mode,
    announcement: Announcement,
    is_accepted: bool,
}

/// A response on its way to a gateway.
pub struct Response {
    due: u64,
    pub origin: Origin,
    pub request: RequestId,
    pub start: AttemptStart,
    /// When the request was sent.
    pub sent_at: u64,
    pub notice: ServerNotice,
    pub end: AttemptEnd,
}

pub struct Servers {
    servers: BTreeMap<u64, Server>,
    responses: Vec<Response>,
    next_incarnation: u64,
}

impl Servers {
    pub fn new() -> Self {
        let servers = (1..=SERVERS).map(|number| {
            let data_centre = place(HostId(number as u32)).data_centre;
            let announcement = Announcement { data_centre, ..server(number, "north-a") };
            (number, Server { mode: Mode::Sound, announcement, is_accepted: false })
        });
        Self { servers: servers.collect(), responses: Vec::new(), next_incarnation: 1_000 }
    }

    /// Sets what a server does from now on. One that was down or leaving becomes a new process.
    pub fn set_mode(&mut self, number: u64, mode: Mode) {
        let server = self.servers.get_mut(&number).expect("a server with this number");
        let has_ended = matches!(server.mode, Mode::Down | Mode::Leaving) && mode != server.mode;
        if has_ended {
            self.next_incarnation += 1;
            server.announcement.incarnation = Incarnation(self.next_incarnation);
            server.announcement.sequence = 1;
            server.announcement.state = ServerState::Serving;
            server.is_accepted = false;
        }
        if mode == Mode::Leaving && server.mode != Mode::Leaving {
            server.announcement.sequence += 1;
            server.announcement.state = ServerState::Draining;
            server.is_accepted = false;
        }
        server.mode = mode;
    }

    pub fn mode(&self, number: u64) -> Mode {
        self.servers[&number].mode
    }

    /// Returns what servers announce and no control host has accepted.
    pub fn announcements(&self) -> Vec<Announcement> {
        let open = self.servers.values().filter(|it| !it.is_accepted && it.mode != Mode::Down);
        open.map(|it| it.announcement.clone()).collect()
    }

    pub fn record_accepted(&mut self, accepted: &[Announcement]) {
        for server in self.servers.values_mut() {
            server.is_accepted |= accepted.contains(&server.announcement);
        }
    }

    /// Ends the attempts that servers that went down had in work.
    pub fn tick(&mut self, now: u64) {
        for response in &mut self.responses {
            let server =
                self.servers.values().find(|it| it.announcement.address == response.start.address);
            if server.is_some_and(|it| it.mode == Mode::Down) && response.end != AttemptEnd::Lost {
                response.end = AttemptEnd::Lost;
                response.notice = ServerNotice::default();
                response.due = now;
            }
        }
    }

    /// Handles a request that arrives at a server; returns how the attempt ends if it does at once.
    pub fn arrive(
        &mut self,
        now: u64,
        origin: Origin,
        request: RequestId,
        sent: Sent,
        start: &AttemptStart,
        checks: &mut Checks,
    ) -> Option<AttemptEnd> {
        let found = self.servers.iter().find(|(_, it)| it.announcement.address == start.address);
        let (number, server) = found.expect("only servers are announced");
        if server.mode == Mode::Down {
            return Some(AttemptEnd::Unreachable);
        }
        if server.announcement.incarnation != start.incarnation {
            return Some(AttemptEnd::Misplaced);
        }
        checks.record_arrival(now, *number, origin, sent, start.incarnation);
        let unlimited = ServerNotice { limit: LimitNotice::Unlimited, ..ServerNotice::default() };
        let (took, notice, end) = match server.mode {
            Mode::Sound => (20 + number * 2, unlimited, AttemptEnd::Answered),
            Mode::Limited(rate) => {
                let limit = LimitNotice::Limited(rate);
                (30, ServerNotice { limit, ..unlimited }, AttemptEnd::Answered)
            }
            Mode::Leaving => {
                (30, ServerNotice { is_leaving: true, ..unlimited }, AttemptEnd::Answered)
            }
            Mode::Pausing => {
                let pause = Some(Millis(PAUSE));
                (5, ServerNotice { pause, ..unlimited }, REFUSED)
            }
            Mode::Losing => (20, ServerNotice::default(), AttemptEnd::Lost),
            Mode::Slow => (1_000, unlimited, AttemptEnd::Answered),
            Mode::Down => unreachable!("handled above"),
        };
        if end != REFUSED {
            checks.record_run(now, sent);
        }
        let start = start.clone();
        let due = now + took;
        self.responses.push(Response { due, origin, request, start, sent_at: now, notice, end });
        None
    }

    /// Takes the responses that arrive now, except those to frozen gateways.
    pub fn take_responses(
        &mut self,
        now: u64,
        is_frozen: impl Fn(HostId) -> bool,
    ) -> Vec<Response> {
        let responses = std::mem::take(&mut self.responses);
        let (due, later) =
            responses.into_iter().partition(|it| it.due <= now && !is_frozen(it.origin.0));
        self.responses = later;
        due
    }
}
