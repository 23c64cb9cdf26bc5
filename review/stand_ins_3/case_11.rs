//! The leading machine of the core is replaced four times, 8 s apart.

#[path = "fleet.rs"]
mod fleet;

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use fleet::{Fleet, Record};

/// Time between two replacements: well over the second until the successor starts and the
/// `catchUpS` of 4 s that it has.
const SPACING: Duration = Duration::from_secs(8);

/// Time from the loss of a machine until its successor starts.
const SUCCESSOR_AFTER: Duration = Duration::from_secs(1);

/// Time after the last replacement until the configuration is read back: `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(15);

/// Time for which the configuration is read back; at least `stableWindowMs`.
const READ_TIME: Duration = Duration::from_secs(10);

fn main() {
    let record = Record::open();
    let mut fleet = Fleet::new(5, 1);
    let mut live: Vec<u8> = (1..=5).collect();
    live.iter().for_each(|it| fleet.start_control(*it, true));
    [21, 22].into_iter().for_each(|it| fleet.start_gateway(it));

    if fleet::put(&record, &fleet, &live, 1, Duration::from_secs(10)).is_none() {
        fleet::cannot_run("no configuration was accepted");
    }
    sleep(Duration::from_secs(8));
    for successor in 6..=9 {
        let at = Instant::now();
        let Some(leader) = fleet.wait_for_leader(&live, Duration::from_secs(6)) else {
            record.line("no control host leads");
            break;
        };
        let voters = fleet.metric(leader, "daisypaddle_control_voters").unwrap_or_default();
        record.line(format!("{leader} leads {voters} voters, of which {} run", live.len()));
        if fleet::has_trouble() {
            fleet.kill(leader);
            live.retain(|it| *it != leader);
            record.line(format!("the machine of {leader} is gone for good"));
            sleep(SUCCESSOR_AFTER);
            fleet.seeds = [live[0], live[1], live[2]];
            fleet.start_control(successor, false);
            live.push(successor);
            record.line(format!("{successor} starts with an empty disk at a new address"));
        }
        sleep(SPACING.saturating_sub(at.elapsed()));
    }
    record.line("no disruption from here on");
    sleep(RECOVERY);
    fleet::record_members(&record, &fleet, &live);
    let read = fleet::read_back(&record, &fleet, &live, READ_TIME);
    let accepted = fleet::put(&record, &fleet, &live, 2, READ_TIME).is_some();
    record.line(format!("read back: {read:?}; a change is accepted: {accepted}"));
    let what = "CONFIG: the configuration that was acknowledged can't be read back";
    fleet::finish(&record, fleet, read.is_none().then_some(what));
}
