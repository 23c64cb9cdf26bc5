//! The faults and planned stops of a soak, drawn from its seed.

use std::{
    collections::BTreeSet,
    fmt,
    net::TcpStream,
    process::ExitStatus,
    sync::{atomic::Ordering, mpsc::Sender},
    time::{Duration, Instant},
};

use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};

use super::{CONTROL_HOSTS, FIRST_GATEWAY, SERVERS};
use crate::gateway::{Cut, Fleet, Pour, Server};

/// Mean number of faults that begin in a second.
const FAULTS_PER_SECOND: f64 = 0.7;

/// Shortest and longest fault, in milliseconds.
const DURATIONS: (u64, u64) = (1_000, 7_000);

/// Longest planned stop, during which its host isn't told to stop again.
const STOP_TIME: Duration = Duration::from_millis(6_500);

/// Time after which a process that doesn't end is killed; no fault that delays it lasts as long.
const KILL_AFTER: Duration = Duration::from_secs(15);

/// Time between the signals of a stop that has two.
const SECOND_SIGNAL_AFTER: Duration = Duration::from_millis(700);

/// What happens. Gateways are lists of hosts, servers are numbers from 1 or sets of bits.
#[derive(Debug, Clone, PartialEq)]
pub enum FaultKind {
    /// Gateways are cut off from servers.
    Cut(Vec<u8>, u32, Cut),
    Freeze(Vec<u8>),
    /// Gateways are killed, and started again at the end.
    Kill(Vec<u8>),
    /// A gateway or control host stops as planned, and is started again as soon as it has ended.
    Stop(u8, StopKind),
    /// An operator sends a number of configurations, with pauses.
    Configure(u64, Duration),
    /// A control host is killed, and started again at the end.
    KillControl(u8),
    /// A server names a limit.
    Limit(u64, f64),
    /// A server turns requests away for a second each.
    Pause(u64),
    /// A server runs requests and closes their connections.
    Drop(u64),
    Pour(u64, Pour),
}

/// The signals of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopKind {
    Once,
    Twice,
    AfterReload,
    /// The process is frozen when it is told to stop, and resumed later.
    Frozen,
}

#[derive(Debug, Clone)]
pub struct Fault {
    pub at: Duration,
    length: Duration,
    pub kind: FaultKind,
}

impl Fault {
    pub fn until(&self) -> Duration {
        self.at + self.length
    }

    /// Returns whether the fault is an unplanned one of a host itself.
    pub fn disturbs(&self, host: u8) -> bool {
        match &self.kind {
            FaultKind::Cut(hosts, ..) | FaultKind::Freeze(hosts) | FaultKind::Kill(hosts) => {
                hosts.contains(&host)
            }
            FaultKind::Stop(stopped, StopKind::Frozen) => *stopped == host,
            FaultKind::KillControl(killed) => *killed == host,
            _ => false,
        }
    }

    /// Returns whether the fault makes a server break off or turn away requests.
    pub fn fails_requests(&self, server: u64) -> bool {
        match self.kind {
            FaultKind::Pause(number) | FaultKind::Drop(number) | FaultKind::Pour(number, _) => {
                number == server
            }
            _ => false,
        }
    }

    pub fn stops(&self, host: u8) -> bool {
        matches!(self.kind, FaultKind::Stop(stopped, _) if stopped == host)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.kind {
            FaultKind::Stop(host, kind) => write!(f, "stop {host} {kind:?}"),
            kind => write!(f, "{kind:?} for {:?}", self.length),
        }
    }
}

/// A host that was told to stop.
#[derive(Debug)]
pub struct Stop {
    pub host: u8,
    pub at: Instant,
    kind: StopKind,
    /// Whether the process accepted connections and so handles the signal.
    pub was_up: bool,
    is_second_sent: bool,
    /// How and when the process ended by itself.
    pub ended: Option<(Instant, ExitStatus)>,
    /// Whether a fault has killed the process.
    pub is_killed: bool,
}

/// The faults of a run, and which have begun and ended.
pub struct Schedule {
    pub faults: Vec<Fault>,
    begun: usize,
    open: Vec<Fault>,
    pub stops: Vec<Stop>,
    /// Hosts that are killed and not yet started again.
    down: BTreeSet<u8>,
}

impl Schedule {
    pub fn new(seed: u64, length: Duration, gateways: u8) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut faults: Vec<Fault> = Vec::new();
        let mut at = Duration::from_millis(500);
        while at < length {
            let (min, max) = DURATIONS;
            let duration = Duration::from_millis(min + rng.next_u64() % (max - min));
            let drawn: Vec<Fault> = if rng.next_u64().is_multiple_of(3) {
                draw_stops(&mut rng, at, gateways)
            } else {
                let kind = draw(&mut rng, gateways);
                vec![Fault { at, length: duration.min(length - at), kind }]
            };
            for fault in drawn.into_iter().filter(|it| it.at < length) {
                let target = target_of(&fault.kind);
                let overlaps = |it: &Fault| {
                    target_of(&it.kind) == target
                        && it.until() >= fault.at
                        && fault.until() >= it.at
                };
                // Two faults of one kind at one target would end each other.
                if !faults.iter().any(overlaps) {
                    faults.push(fault);
                }
            }
            let wait = rng.next_u64() % (2_000.0 / FAULTS_PER_SECOND) as u64;
            at += Duration::from_millis(wait);
        }
        faults.sort_by_key(|it| it.at);
        Self { faults, begun: 0, open: Vec::new(), stops: Vec::new(), down: BTreeSet::new() }
    }

    /// Begins and ends the faults that are due.
    pub fn apply(
        &mut self,
        fleet: &mut Fleet,
        servers: &[Server],
        changes: &Sender<(u64, Duration)>,
        now: Duration,
    ) {
        self.follow_stops(fleet);
        while let Some(fault) = self.faults.get(self.begun).cloned().filter(|it| it.at <= now) {
            match fault.kind {
                FaultKind::Configure(count, pause) => changes.send((count, pause)).unwrap(),
                ref kind => self.begin(fleet, servers, kind),
            }
            self.open.push(fault);
            self.begun += 1;
        }
        let (ended, open) =
            std::mem::take(&mut self.open).into_iter().partition(|it: &Fault| it.until() <= now);
        self.open = open;
        ended.iter().for_each(|it| self.end(fleet, servers, &it.kind));
    }

    /// Sends second signals, and starts hosts that have stopped again.
    fn follow_stops(&mut self, fleet: &mut Fleet) {
        for stop in self.stops.iter_mut().filter(|it| it.ended.is_none() && !it.is_killed) {
            if let Some(status) = fleet.exit_status(stop.host) {
                stop.ended = Some((Instant::now(), status));
                start(fleet, stop.host);
            } else if stop.at.elapsed() >= KILL_AFTER {
                fleet.kill(stop.host);
            } else if stop.at.elapsed() >= SECOND_SIGNAL_AFTER && !stop.is_second_sent {
                stop.is_second_sent = true;
                match stop.kind {
                    StopKind::Twice => fleet.signal(stop.host, "-TERM"),
                    StopKind::Frozen => fleet.signal(stop.host, "-CONT"),
                    StopKind::Once | StopKind::AfterReload => {}
                }
            }
        }
    }

    /// Returns whether a host is being stopped, or is killed and not yet started again.
    pub fn is_leaving(&self, host: u8) -> bool {
        let is_stopping = |it: &Stop| it.host == host && it.ended.is_none() && !it.is_killed;
        self.stops.iter().any(is_stopping) || self.down.contains(&host)
    }

    /// Returns whether an unplanned fault of a host lasts.
    pub fn disturbs(&self, host: u8) -> bool {
        self.open.iter().any(|it| it.disturbs(host))
    }

    /// Tells a host to stop unless it is being stopped.
    pub fn stop(&mut self, fleet: &Fleet, host: u8, kind: StopKind) {
        if self.is_leaving(host) {
            return;
        }
        let port = if host < FIRST_GATEWAY { fleet.ports.requests } else { fleet.ports.readiness };
        let was_up = TcpStream::connect(fleet.address(host, port)).is_ok();
        match kind {
            StopKind::AfterReload if was_up && host >= FIRST_GATEWAY => fleet.signal(host, "-HUP"),
            StopKind::Frozen => fleet.signal(host, "-STOP"),
            _ => {}
        }
        let at = fleet.stop(host);
        self.stops.push(Stop {
            host,
            at,
            kind,
            was_up,
            is_second_sent: false,
            ended: None,
            is_killed: false,
        });
    }

    fn kill(&mut self, fleet: &mut Fleet, host: u8) {
        fleet.kill(host);
        self.down.insert(host);
        let stopping = self.stops.iter_mut().filter(|it| it.host == host && it.ended.is_none());
        stopping.for_each(|it| it.is_killed = true);
    }

    fn restart(&mut self, fleet: &mut Fleet, host: u8) {
        self.down.remove(&host);
        start(fleet, host);
    }
}

fn start(fleet: &mut Fleet, host: u8) {
    match host {
        0..FIRST_GATEWAY => fleet.start_control(host, true),
        _ => fleet.start_gateway(host),
    }
}

/// Draws planned stops of one, some or all gateways or of control hosts, at once or in series.
fn draw_stops(rng: &mut impl RngCore, at: Duration, gateways: u8) -> Vec<Fault> {
    let mut pick = |n: u64| rng.next_u64() % n;
    let is_control = pick(4) == 0;
    let (first, count) =
        if is_control { (CONTROL_HOSTS.start, 3) } else { (FIRST_GATEWAY, u64::from(gateways)) };
    let len = [1, 1 + pick(count), count][pick(3) as usize];
    let interval = Duration::from_millis([0, 300, 1_500, 3_500][pick(4) as usize]);
    // A series of a large fleet is faster, so that it ends in the run.
    let interval = interval / (u32::from(gateways) / 12).max(1);
    let begin = pick(count);
    (0..len)
        .map(|i| {
            let kind = [StopKind::Once, StopKind::Once, StopKind::Twice, StopKind::AfterReload]
                .get(pick(5) as usize)
                .copied()
                .unwrap_or(StopKind::Frozen);
            let host = first + ((begin + i) % count) as u8;
            let at = at + interval * i as u32;
            Fault { at, length: STOP_TIME, kind: FaultKind::Stop(host, kind) }
        })
        .collect()
}

/// Faults with the same target don't overlap: kills and freezes, all cuts, and those at a host or a
/// server. Planned stops overlap with all others.
fn target_of(kind: &FaultKind) -> u64 {
    match kind {
        FaultKind::Freeze(_) | FaultKind::Kill(_) => 100,
        FaultKind::Cut(..) => 101,
        FaultKind::KillControl(_) => 102,
        FaultKind::Configure(..) => 103,
        FaultKind::Stop(host, _) => 200 + u64::from(*host),
        FaultKind::Limit(server, _) => *server,
        FaultKind::Pause(server) | FaultKind::Drop(server) | FaultKind::Pour(server, _) => {
            50 + *server
        }
    }
}

fn draw(rng: &mut impl RngCore, gateways: u8) -> FaultKind {
    let mut pick = |n: u64| rng.next_u64() % n;
    let server = 1 + pick(SERVERS);
    let mut some: Vec<u8> =
        (0..2).map(|_| FIRST_GATEWAY + pick(u64::from(gateways)) as u8).collect();
    some.dedup();
    match pick(13) {
        0..=1 => {
            let all_servers = (1 << SERVERS) - 1;
            let servers = if pick(2) == 0 { all_servers } else { 1 + pick(all_servers) };
            let hosts = FIRST_GATEWAY..FIRST_GATEWAY + gateways;
            let most: Vec<u8> = hosts.filter(|it| pick(2) == 0 || some.contains(it)).collect();
            let how = [Cut::Reset, Cut::Silent, Cut::NewRefused][pick(3) as usize];
            // At least one gateway reaches the servers.
            let cut = if most.len() == usize::from(gateways) { some } else { most };
            FaultKind::Cut(cut, servers as u32, how)
        }
        2 => FaultKind::Freeze(some),
        3 => FaultKind::Kill(some),
        4 => FaultKind::KillControl(CONTROL_HOSTS.start + pick(3) as u8),
        5 => FaultKind::Limit(server, [0.5, 1.0, 1.8, 4.0][pick(4) as usize]),
        6 => FaultKind::Pause(server),
        7 => FaultKind::Drop(server),
        8 => {
            let pours = [Pour::Head, Pour::Body, Pour::AfterResponse];
            FaultKind::Pour(server, pours[pick(3) as usize])
        }
        _ => FaultKind::Configure(1 + pick(8), Duration::from_millis(pick(300))),
    }
}

impl Schedule {
    fn begin(&mut self, fleet: &mut Fleet, servers: &[Server], kind: &FaultKind) {
        let server = |number: u64| &servers[number as usize - 1];
        match kind {
            FaultKind::Cut(gateways, cut_servers, how) => {
                let is_cut = |i: &usize| cut_servers >> i & 1 == 1;
                for i in (0..servers.len()).filter(is_cut) {
                    let cuts = gateways.iter().map(|it| (fleet.ip(*it), *how));
                    servers[i].cuts.lock().unwrap().extend(cuts);
                }
            }
            FaultKind::Freeze(gateways) => self.signal(fleet, gateways, "-STOP"),
            FaultKind::Kill(gateways) => gateways.iter().for_each(|it| self.kill(fleet, *it)),
            FaultKind::Stop(host, kind) => self.stop(fleet, *host, *kind),
            FaultKind::KillControl(host) => self.kill(fleet, *host),
            FaultKind::Configure(..) => {}
            FaultKind::Limit(number, limit) => {
                *server(*number).limit.lock().unwrap() = Some(limit.to_string());
            }
            FaultKind::Pause(number) => {
                *server(*number).turns_away.lock().unwrap() = Some("1".to_owned());
            }
            FaultKind::Drop(number) => {
                server(*number).drops_connections.store(true, Ordering::Relaxed);
            }
            FaultKind::Pour(number, pour) => *server(*number).pours.lock().unwrap() = Some(*pour),
        }
    }

    fn end(&mut self, fleet: &mut Fleet, servers: &[Server], kind: &FaultKind) {
        let server = |number: u64| &servers[number as usize - 1];
        match kind {
            FaultKind::Cut(..) => servers.iter().for_each(|it| it.cuts.lock().unwrap().clear()),
            FaultKind::Freeze(gateways) => self.signal(fleet, gateways, "-CONT"),
            FaultKind::Kill(gateways) => gateways.iter().for_each(|it| self.restart(fleet, *it)),
            FaultKind::KillControl(host) => self.restart(fleet, *host),
            FaultKind::Stop(..) | FaultKind::Configure(..) => {}
            FaultKind::Limit(number, _) => *server(*number).limit.lock().unwrap() = None,
            FaultKind::Pause(number) => *server(*number).turns_away.lock().unwrap() = None,
            FaultKind::Drop(number) => {
                server(*number).drops_connections.store(false, Ordering::Relaxed);
            }
            FaultKind::Pour(number, _) => *server(*number).pours.lock().unwrap() = None,
        }
    }

    /// Signals hosts whose processes run.
    fn signal(&mut self, fleet: &mut Fleet, hosts: &[u8], name: &str) {
        for host in hosts.iter().filter(|it| !self.down.contains(it)) {
            if fleet.is_running(*host) {
                fleet.signal(*host, name);
            }
        }
    }
}
