//! The claim map follows the hosts, also after a long time without changes.

use claims::{ClaimHost, ClaimMap};
use fleet_core::ClaimPlanner;
use ids::{HostId, Incarnation, Millis, Timestamp, WallTime};
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
        let before = self.changes;
        for _ in 0..LONG.0 / TICK.0 {
            self.now = self.now + TICK;
            for host in hosts {
                self.planner.note_report(host.host, self.whole_report());
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
