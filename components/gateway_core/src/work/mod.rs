//! The work of requests, learned, and what each backend server still has to do.
//!
//! Load pattern: requests of one route look alike, but some cost a server many times the work of
//! others, by what they ask for or by who asks. Counts of requests in flight then say little of when a
//! server has room, a server that works on a large request looks broken, and a large request looks
//! overdue. Where the requests of a route cost about the same, nothing changes.

mod backlog;
mod kind;
mod sketch;

use ids::{ByteSize, HostId, Millis, OrganisationName, RequestId, Timestamp};
use schema::server_work::WorkReport;

use self::sketch::WorkSketch;
pub(crate) use self::{backlog::Backlogs, kind::RequestKinds};
use crate::{configuration::RouteKey, servers::ServerKey};

/// Work beyond the average from which other gateways are told of it, in milliseconds.
const MIN_EXCESS: Millis = Millis(20);

/// Maximum work of another gateway at a server, in milliseconds.
const MAX_EXCESS: Millis = Millis(60_000);

/// Latency of a server relative to the average above which its responses say nothing of the work.
const MAX_SLOWDOWN: f64 = 1.5;

/// The work of a request as a multiple of what requests of its route cost on average.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(crate) struct WorkRatio(pub(crate) f64);

impl WorkRatio {
    /// The work of an average request.
    pub(crate) const AVERAGE: Self = Self(1.0);

    /// Returns how it compares with the average.
    pub(crate) fn likely(self) -> LikelyWork {
        match () {
            () if self < Self::AVERAGE => LikelyWork::Less,
            () if self > Self::AVERAGE => LikelyWork::More,
            () => LikelyWork::Average,
        }
    }

    /// Returns the work beyond that of an average request.
    fn excess(self, average_latency: f64) -> f64 {
        (self.0 - 1.0) * average_latency
    }
}

/// How the likely work of a request compares with that of others of its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LikelyWork {
    /// It likely costs less.
    Less,
    /// It costs about as much, or nothing is known.
    Average,
    /// It likely costs more.
    More,
}

impl LikelyWork {
    /// Returns a short name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Less => "less",
            Self::Average => "average",
            Self::More => "more",
        }
    }
}

/// What a request looks like, as far as its work may depend on it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RequestLook<'a> {
    pub(crate) route: RouteKey,
    pub(crate) organisation: Option<&'a OrganisationName>,
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) body: ByteSize,
}

/// A response that shows the work of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkSample {
    /// Time until the response, in milliseconds.
    pub(crate) latency: f64,
    /// Route of the request.
    pub(crate) route: RouteKey,
    /// Latency of the server relative to the average.
    pub(crate) slowdown: f64,
}

/// What is known of the work of requests, on this gateway and at the servers.
#[derive(Debug)]
pub(crate) struct Work {
    is_on: bool,
    sketch: WorkSketch,
    backlogs: Backlogs,
    /// Messages to the other gateways of the data centre.
    reports: Vec<WorkReport>,
}

impl Work {
    pub(crate) fn new(is_on: bool) -> Self {
        Self {
            is_on,
            sketch: WorkSketch::default(),
            backlogs: Backlogs::default(),
            reports: Vec::new(),
        }
    }

    /// Returns the kinds that a request belongs to.
    pub(crate) fn kinds(&self, look: RequestLook<'_>) -> RequestKinds {
        match self.is_on {
            true => RequestKinds::of(look),
            false => RequestKinds::default(),
        }
    }

    /// Returns the likely work of a request.
    pub(crate) fn estimate(&self, now: Timestamp, kinds: &RequestKinds) -> WorkRatio {
        self.sketch.estimate(now, kinds)
    }

    /// Records the work of a request that has been answered.
    pub(crate) fn record(&mut self, now: Timestamp, kinds: &RequestKinds, sample: &WorkSample) {
        if self.is_on && sample.slowdown <= MAX_SLOWDOWN {
            self.sketch.record(now, kinds, sample);
        }
    }

    /// Records the start of an attempt whose request costs more or less than others of its route.
    pub(crate) fn start(
        &mut self,
        now: Timestamp,
        server: ServerKey,
        request: RequestId,
        kinds: &RequestKinds,
        average_latency: f64,
    ) {
        let excess = self.estimate(now, kinds).excess(average_latency);
        if excess.abs() < MIN_EXCESS.0 as f64 {
            return;
        }
        self.backlogs.add_own(now, server, request, excess);
        self.report(now, server);
    }

    /// Records the end of an attempt.
    pub(crate) fn end(&mut self, now: Timestamp, server: ServerKey, request: RequestId) {
        if self.backlogs.remove_own(server, request) {
            self.report(now, server);
        }
    }

    fn report(&mut self, now: Timestamp, server: ServerKey) {
        let ServerKey { address, incarnation } = server;
        self.reports.push(WorkReport {
            address,
            incarnation,
            excess_ms: self.backlogs.own(now, server) as i64,
        });
    }

    /// Processes the report of another gateway.
    pub(crate) fn on_report(&mut self, now: Timestamp, from: HostId, report: &WorkReport) {
        if !self.is_on {
            return;
        }
        let server = ServerKey { address: report.address, incarnation: report.incarnation };
        let bound = MAX_EXCESS.0 as f64;
        let millis = (report.excess_ms as f64).clamp(-bound, bound);
        self.backlogs.set_peer(now, from, server, millis);
    }

    /// Returns the work that a server has beyond that of as many average requests, in milliseconds.
    pub(crate) fn excess_at(&self, now: Timestamp, server: ServerKey) -> f64 {
        self.backlogs.total(now, server)
    }

    /// Drops what is known of servers that are gone.
    pub(crate) fn retain(&mut self, is_known: impl Fn(ServerKey) -> bool) {
        self.backlogs.retain(is_known);
    }

    /// Drops what a gateway has reported that has left or restarted.
    pub(crate) fn forget_peer(&mut self, host: HostId) {
        self.backlogs.forget_peer(host);
    }

    /// Takes the pending reports for the other gateways of the data centre.
    pub(crate) fn take_reports(&mut self) -> Vec<WorkReport> {
        std::mem::take(&mut self.reports)
    }
}
