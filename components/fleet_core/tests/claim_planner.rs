//! The claim map follows the hosts, also after a long time without changes.

use claims::{ClaimHost, ClaimMap};
use fleet_core::ClaimPlanner;
use ids::{Epoch, HostId, Incarnation, Millis, Timestamp, WallTime};
use schema::claim_report::{ClaimReport, WholeShard};

/// Between two ticks of a control host.
const TICK: Millis = Millis(50);

/// Longer than hosts must be gone before the map follows.
const LONG: Millis = Millis(40_000);

/// A planner with the map that it has brought about.
struct Plan {
    planner: ClaimPlanner,
    map: ClaimMap,
    now: Timestamp,
    changes: u32,
}

impl Plan {
    fn new() -> Self {
        let now = Timestamp::from_millis(1_000);
        Self { planner: ClaimPlanner::default(), map: ClaimMap::empty(), now, changes: 0 }
    }

    /// Lets time pass with these hosts live; returns how often the map changed.
    fn run(&mut self, hosts: &[ClaimHost]) -> u32 {
        self.run_with(hosts, &[])
    }

    /// Lets time pass with these hosts live, some of which have forgotten their shards.
    fn run_with(&mut self, hosts: &[ClaimHost], forgetful: &[HostId]) -> u32 {
        let before = self.changes;
        for _ in 0..LONG.0 / TICK.0 {
            self.now = self.now + TICK;
            for host in hosts {
                let mut report = self.whole_report();
                if forgetful.contains(&host.host) {
                    report.whole.retain(|it| self.is_new(it.shard));
                }
                self.planner.record_report(host.host, report);
            }
            let wall = WallTime(self.now.since(Timestamp::default()).0);
            if let Some(next) = self.planner.plan(self.now, wall, hosts.to_vec(), &self.map) {
                self.map = ClaimMap::from_state(next);
                self.changes += 1;
            }
        }
        self.changes - before
    }

    /// The report of a host that holds every shard whole.
    fn whole_report(&self) -> ClaimReport {
        let state = self.map.state();
        let whole = (0..).zip(&state.shards);
        let whole = whole.map(|(shard, it)| WholeShard { shard, epoch: it.epoch });
        ClaimReport { map_epoch: state.epoch, whole: whole.collect() }
    }

    /// Whether a shard was opened after the first map.
    fn is_new(&self, shard: u32) -> bool {
        self.map.state().shards[shard as usize].opened > Epoch(1)
    }

    fn count_new(&self) -> usize {
        self.map.state().shards.iter().filter(|it| it.opened > Epoch(1)).count()
    }

    fn names(&self, host: &ClaimHost) -> bool {
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
fn a_settled_map_follows_hosts_that_come_and_go() {
    let mut plan = Plan::new();
    let first = hosts("north-1", 101);
    let both = [first.clone(), hosts("north-2", 201)].concat();

    let founded = plan.run(&first);
    let quiet = plan.run(&first);
    let grown = plan.run(&both);
    let has_new = both.iter().any(|it| it.host.0 > 200 && plan.names(it));
    let shrunk = plan.run(&both[1..]);

    assert!(founded > 0 && grown > 0 && shrunk > 0, "{founded} {grown} {shrunk}");
    assert_eq!(quiet, 0);
    assert!(has_new);
    assert!(!plan.names(&both[0]), "{:?}", plan.map.state().shards.first());
}

#[test]
fn shards_behind_a_cut_are_never_opened_anew() {
    let mut plan = Plan::new();
    let near = hosts("north-1", 101);
    let all = [near.clone(), hosts("south-1", 201)].concat();
    plan.run(&all);

    (0..5).for_each(|_| {
        plan.run(&near);
    });

    assert_eq!(plan.count_new(), 0);
}

#[test]
fn shards_that_a_majority_has_forgotten_are_opened_anew() {
    let mut plan = Plan::new();
    let all = hosts("north-1", 101);
    plan.run(&all);
    let forgetful: Vec<_> = all.iter().map(|it| it.host).collect();

    plan.run_with(&all, &forgetful);
    let early = plan.count_new();
    (0..3).for_each(|_| {
        plan.run_with(&all, &forgetful);
    });

    assert_eq!(early, 0);
    assert_eq!(plan.count_new(), plan.map.state().shards.len());
}
