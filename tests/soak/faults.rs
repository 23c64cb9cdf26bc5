//! The faults of a soak, drawn from its seed.

use std::{fmt, sync::atomic::Ordering, time::Duration};

use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};

use super::{GATEWAYS, SERVERS};
use crate::gateway::{Cut, Fleet, Pour, Server};

/// Mean number of faults that begin in a second.
const FAULTS_PER_SECOND: f64 = 0.7;

/// Shortest and longest fault, in milliseconds.
const DURATIONS: (u64, u64) = (1_000, 7_000);

/// What happens. Gateways are sets of bits, servers are numbers from 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultKind {
    /// Gateways are cut off from servers; both are sets.
    Cut(u32, u32, Cut),
    Freeze(u32),
    /// Gateways are killed, and started again at the end.
    Kill(u32),
    /// A gateway stops as planned, and is started again at the end.
    Stop(u32),
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

    /// Returns whether the fault concerns a gateway itself.
    pub fn disturbs(&self, gateway: usize) -> bool {
        match self.kind {
            FaultKind::Cut(gateways, ..)
            | FaultKind::Freeze(gateways)
            | FaultKind::Kill(gateways)
            | FaultKind::Stop(gateways) => gateways >> gateway & 1 == 1,
            _ => false,
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} for {:?}", self.kind, self.length)
    }
}

/// The faults of a run, and which have begun and ended.
pub struct Schedule {
    pub faults: Vec<Fault>,
    begun: usize,
    open: Vec<Fault>,
}

impl Schedule {
    pub fn new(seed: u64, length: Duration) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut faults = Vec::new();
        let mut at = Duration::from_millis(500);
        while at < length {
            let (min, max) = DURATIONS;
            let duration = Duration::from_millis(min + rng.next_u64() % (max - min));
            let fault = Fault { at, length: duration.min(length - at), kind: draw(&mut rng) };
            let target = target_of(&fault.kind);
            let overlaps = |it: &Fault| target_of(&it.kind) == target && it.until() >= fault.at;
            // Two faults of one kind at one target would end each other.
            if !faults.iter().any(overlaps) {
                faults.push(fault);
            }
            let wait = rng.next_u64() % (2_000.0 / FAULTS_PER_SECOND) as u64;
            at += Duration::from_millis(wait);
        }
        Self { faults, begun: 0, open: Vec::new() }
    }

    /// Begins and ends the faults that are due.
    pub fn apply(&mut self, fleet: &mut Fleet, servers: &[Server], now: Duration) {
        while let Some(fault) = self.faults.get(self.begun).filter(|it| it.at <= now) {
            begin(fleet, servers, &fault.kind);
            self.open.push(fault.clone());
            self.begun += 1;
        }
        let (ended, open) =
            std::mem::take(&mut self.open).into_iter().partition(|it: &Fault| it.until() <= now);
        self.open = open;
        ended.iter().for_each(|it| end(fleet, servers, &it.kind));
    }
}

/// Faults with the same target don't overlap: all that stop processes, all cuts, and those at a server.
fn target_of(kind: &FaultKind) -> u64 {
    match kind {
        FaultKind::Freeze(_) | FaultKind::Kill(_) | FaultKind::Stop(_) => 100,
        FaultKind::Cut(..) => 101,
        FaultKind::KillControl(_) => 102,
        FaultKind::Limit(server, _) => *server,
        FaultKind::Pause(server) | FaultKind::Drop(server) | FaultKind::Pour(server, _) => {
            50 + *server
        }
    }
}

fn draw(rng: &mut Xoshiro256PlusPlus) -> FaultKind {
    let mut pick = |n: u64| rng.next_u64() % n;
    let gateways = GATEWAYS.len() as u64;
    let server = 1 + pick(SERVERS);
    let one = 1 << pick(gateways);
    let some = (one | 1 << pick(gateways)) as u32;
    match pick(11) {
        0..=2 => {
            let all_servers = (1 << SERVERS) - 1;
            let servers = if pick(2) == 0 { all_servers } else { 1 + pick(all_servers) };
            let most = pick(1 << gateways) as u32 | some;
            let how = [Cut::Reset, Cut::Silent, Cut::NewRefused][pick(3) as usize];
            // At least one gateway reaches the servers.
            let cut = if most == (1 << gateways) - 1 { some } else { most };
            FaultKind::Cut(cut, servers as u32, how)
        }
        3 => FaultKind::Freeze(some),
        4 => FaultKind::Kill(some),
        5 => FaultKind::Stop(one as u32),
        6 => FaultKind::KillControl(1 + pick(3) as u8),
        7 => FaultKind::Limit(server, [0.5, 1.0, 1.8, 4.0][pick(4) as usize]),
        8 => FaultKind::Pause(server),
        9 => FaultKind::Drop(server),
        _ => {
            let pours = [Pour::Head, Pour::Body, Pour::AfterResponse];
            FaultKind::Pour(server, pours[pick(3) as usize])
        }
    }
}

fn members(gateways: u32) -> impl Iterator<Item = u8> {
    GATEWAYS.filter(move |it| gateways >> (it - GATEWAYS.start) & 1 == 1)
}

fn begin(fleet: &mut Fleet, servers: &[Server], kind: &FaultKind) {
    let server = |number: u64| &servers[number as usize - 1];
    match *kind {
        FaultKind::Cut(gateways, cut_servers, how) => {
            let is_cut = |i: &usize| cut_servers >> i & 1 == 1;
            for i in (0..servers.len()).filter(is_cut) {
                let cuts = members(gateways).map(|it| (fleet.ip(it), how));
                servers[i].cuts.lock().unwrap().extend(cuts);
            }
        }
        FaultKind::Freeze(gateways) => members(gateways).for_each(|it| fleet.signal(it, "-STOP")),
        FaultKind::Kill(gateways) => members(gateways).for_each(|it| fleet.kill(it)),
        FaultKind::Stop(gateways) => members(gateways).for_each(|it| fleet.signal(it, "-TERM")),
        FaultKind::KillControl(host) => fleet.kill(host),
        FaultKind::Limit(number, limit) => {
            *server(number).limit.lock().unwrap() = Some(limit.to_string());
        }
        FaultKind::Pause(number) => {
            *server(number).turns_away.lock().unwrap() = Some("1".to_owned());
        }
        FaultKind::Drop(number) => server(number).drops_connections.store(true, Ordering::Relaxed),
        FaultKind::Pour(number, pour) => *server(number).pours.lock().unwrap() = Some(pour),
    }
}

fn end(fleet: &mut Fleet, servers: &[Server], kind: &FaultKind) {
    let server = |number: u64| &servers[number as usize - 1];
    match *kind {
        FaultKind::Cut(..) => servers.iter().for_each(|it| it.cuts.lock().unwrap().clear()),
        FaultKind::Freeze(gateways) => members(gateways).for_each(|it| fleet.signal(it, "-CONT")),
        FaultKind::Kill(gateways) => members(gateways).for_each(|it| fleet.start_gateway(it)),
        FaultKind::Stop(gateways) => members(gateways).for_each(|it| {
            fleet.kill(it);
            fleet.start_gateway(it);
        }),
        FaultKind::KillControl(host) => fleet.start_control(host, true),
        FaultKind::Limit(number, _) => *server(number).limit.lock().unwrap() = None,
        FaultKind::Pause(number) => *server(number).turns_away.lock().unwrap() = None,
        FaultKind::Drop(number) => server(number).drops_connections.store(false, Ordering::Relaxed),
        FaultKind::Pour(number, _) => *server(number).pours.lock().unwrap() = None,
    }
}
