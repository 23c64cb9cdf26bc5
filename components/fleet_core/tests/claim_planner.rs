//! Tests that the claim map follows the hosts, and that only lost shards are reopened.

use claims::{ClaimHost, ClaimMap};
use fleet_core::ClaimPlanner;
use ids::{Epoch, HostId, Incarnation, Millis, Timestamp, WallTime};
use schema::claim_report::{ClaimReport, WholeShard};

/// Interval of the ticks of a control host.
const TICK_INTERVAL: Millis = Millis(50);

/// Time that a run simulates; longer than hosts must be missing before the map follows.
const RUN_TIME: Millis = Millis(40_000);

/// A planner, and the map that results from its plans.
struct Simulation {
    planner: ClaimPlanner,
    map: ClaimMap,
    now: Timestamp,
    map_changes: u32,
}

impl Simulation {
    fn new() -> Self {
        let now = Timestamp::from_millis(1_000);
        Self { planner: ClaimPlanner::default(), map: ClaimMap::empty(), now, map_changes: 0 }
    }

    /// Runs with these hosts live; returns how often the map changed.
    fn run(&mut self, hosts: &[ClaimHost]) -> u32 {
        self.run_with_loss(hosts, &[])
    }

    /// Runs with these hosts live, some of which have lost the records of their shards.
    fn run_with_loss(&mut self, hosts: &[ClaimHost], without_records: &[HostId]) -> u32 {
        let before = self.map_changes;
        for _ in 0..RUN_TIME.0 / TICK_INTERVAL.0 {
            self.now = self.now + TICK_INTERVAL;
            for host in hosts {
                let mut report = self.complete_report();
                if without_records.contains(&host.host) {
                    report.whole.retain(|it| self.is_reopened(it.shard));
                }
                self.planner.record_report(host.host, report);
            }
            let wall_time = WallTime(self.now.since(Timestamp::default()).0);
            if let Some(next) = self.planner.plan(self.now, wall_time, hosts.to_vec(), &self.map) {
                self.map = ClaimMap::from_state(next);
                self.map_changes += 1;
            }
        }
        self.map_changes - before
    }

    /// Returns the report of a host that has all records of every shard.
    fn complete_report(&self) -> ClaimReport {
        let state = self.map.state();
        let whole = (0..).zip(&state.shards);
        let whole = whole.map(|(shard, it)| WholeShard { shard, epoch: it.epoch });
        ClaimReport { map_epoch: state.epoch, whole: whole.collect() }
    }

    /// Returns whether a shard was opened after the first map.
    fn is_reopened(&self, shard: u32) -> bool {
        self.map.state().shards[shard as usize].opened > Epoch(1)
    }

    fn count_reopened(&self) -> usize {
        self.map.state().shards.iter().filter(|it| it.opened > Epoch(1)).count()
    }

    /// Returns whether the map contains a host.
    fn contains(&self, host: &ClaimHost) -> bool {
        format!("{:?}", self.map.state()).contains(&format!("{:?}", host.host))
    }
}

fn hosts(data_centre: &str, first: u32) -> Vec<ClaimHost> {
    let host = |id| ClaimHost {
        host: HostId(id),
        incarnation: Incarnation(1),
        data_centre: data_centre.parse().unwrap(),
        region: "north".parse().unwrap(),
    };
    (first..first + 4).map(host).collect()
}

#[test]
fn a_map_that_was_unchanged_follows_hosts_that_join_and_leave() {
    let mut sim = Simulation::new();
    let first = hosts("north-1", 101);
    let both = [first.clone(), hosts("north-2", 201)].concat();

    let first_changes = sim.run(&first);
    let idle_changes = sim.run(&first);
    let join_changes = sim.run(&both);
    let has_joined = both.iter().any(|it| it.host.0 > 200 && sim.contains(it));
    let leave_changes = sim.run(&both[1..]);

    assert!(
        first_changes > 0 && join_changes > 0 && leave_changes > 0,
        "{first_changes} {join_changes} {leave_changes}"
    );
    assert_eq!(idle_changes, 0);
    assert!(has_joined);
    assert!(!sim.contains(&both[0]), "{:?}", sim.map.state().shards.first());
}

#[test]
fn shards_behind_a_partition_are_never_reopened() {
    let mut sim = Simulation::new();
    let near = hosts("north-1", 101);
    let all = [near.clone(), hosts("south-1", 201)].concat();
    sim.run(&all);

    (0..5).for_each(|_| {
        sim.run(&near);
    });

    assert_eq!(sim.count_reopened(), 0);
}

#[test]
fn shards_that_a_majority_has_lost_are_reopened() {
    let mut sim = Simulation::new();
    let all = hosts("north-1", 101);
    sim.run(&all);
    let without_records: Vec<_> = all.iter().map(|it| it.host).collect();

    sim.run_with_loss(&all, &without_records);
    let reopened_early = sim.count_reopened();
    (0..3).for_each(|_| {
        sim.run_with_loss(&all, &without_records);
    });

    assert_eq!(reopened_early, 0);
    assert_eq!(sim.count_reopened(), sim.map.state().shards.len());
}
