//! Replaces the processes of a fleet by those of another build, one host after the other.

// Tests in CI have no older build.
#![allow(dead_code)]

use std::{collections::VecDeque, net::TcpStream, path::PathBuf};

use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};

use super::{
    CONTROL_HOSTS, FIRST_GATEWAY,
    faults::{Schedule, StopKind},
};
use crate::gateway::Fleet;

/// Which build replaces the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    OldToNew,
    NewToOld,
}

/// An older build, and in which direction hosts are replaced.
#[derive(Debug, Clone)]
pub struct OldBuild {
    pub binary: PathBuf,
    pub direction: Direction,
}

/// The build of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Build {
    Old,
    New,
}

/// Replaces half of the hosts, goes back, and then replaces all.
pub struct Roll {
    binary: PathBuf,
    first: Build,
    hosts: Vec<u8>,
    steps: VecDeque<(u8, Build)>,
    total: usize,
    /// The host that is being replaced.
    current: Option<u8>,
}

impl Roll {
    /// Draws the order of the hosts: control hosts first, gateways first, or mixed.
    pub fn new(seed: u64, old: &OldBuild, gateways: u8) -> Self {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let control = CONTROL_HOSTS;
        let gateways = FIRST_GATEWAY..FIRST_GATEWAY + gateways;
        let mut hosts: Vec<u8> = control.chain(gateways).collect();
        match seed % 3 {
            0 => {}
            1 => hosts.reverse(),
            _ => hosts.sort_by_cached_key(|_| rng.next_u64()),
        }
        let (first, last) = match old.direction {
            Direction::OldToNew => (Build::Old, Build::New),
            Direction::NewToOld => (Build::New, Build::Old),
        };
        let half = &hosts[..hosts.len().div_ceil(2)];
        let forth = half.iter().map(|it| (*it, last));
        let back = half.iter().rev().map(|it| (*it, first));
        let all = hosts.iter().map(|it| (*it, last));
        let steps: VecDeque<_> = forth.chain(back).chain(all).collect();
        let total = steps.len();
        Self { binary: old.binary.clone(), first, hosts, steps, total, current: None }
    }

    /// Sets the builds with which the hosts start.
    pub fn assign_first_builds(&self, fleet: &mut Fleet) {
        self.hosts.iter().for_each(|it| self.assign(fleet, *it, self.first));
    }

    /// Begins the next replacement once the host of the last one is back.
    pub fn advance(&mut self, fleet: &mut Fleet, schedule: &mut Schedule) {
        if let Some(host) = self.current {
            // A frozen host would let the request for its readiness wait.
            if schedule.is_leaving(host) || schedule.disturbs(host) || !is_back(fleet, host) {
                return;
            }
            self.current = None;
        }
        let Some((host, build)) = self.steps.front().copied() else { return };
        // A host that a fault stops is replaced once it is back.
        if schedule.is_leaving(host) || schedule.disturbs(host) {
            return;
        }
        self.steps.pop_front();
        self.assign(fleet, host, build);
        schedule.stop(fleet, host, StopKind::Once);
        self.current = Some(host);
    }

    /// Returns a message if not all hosts have been replaced.
    pub fn unfinished(&self) -> Option<String> {
        let left = self.steps.len();
        (left > 0).then(|| format!("{left} of {} replacements were not begun", self.total))
    }

    /// Returns the number of replacements that have begun.
    pub fn replaced(&self) -> usize {
        self.total - self.steps.len()
    }

    fn assign(&self, fleet: &mut Fleet, host: u8, build: Build) {
        match build {
            Build::Old => _ = fleet.other_builds.insert(host, self.binary.clone()),
            Build::New => _ = fleet.other_builds.remove(&host),
        }
    }
}

/// Returns whether a host serves again: a gateway is ready, a control host accepts connections.
fn is_back(fleet: &Fleet, host: u8) -> bool {
    match host {
        0..FIRST_GATEWAY => TcpStream::connect(fleet.address(host, fleet.ports.requests)).is_ok(),
        _ => fleet.is_ready(host),
    }
}
