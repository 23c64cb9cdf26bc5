//! Two machines of the core lose their disks right after the first configuration was acknowledged,
//! in a deployment that bears the loss of two.

#[path = "fleet.rs"]
mod fleet;

use std::{thread::sleep, time::Duration};

use fleet::{Fleet, Record};

/// Time for which the two machines are down.
const DOWN: Duration = Duration::from_secs(1);

/// Time after they are back until the configuration is read back: `recoveryS`.
const RECOVERY: Duration = Duration::from_secs(15);

/// Time for which the configuration is read back; at least `stableWindowMs`.
const READ_TIME: Duration = Duration::from_secs(10);

fn main() {
    let record = Record::open();
    let mut fleet = Fleet::new(11, 2);
    let core: Vec<u8> = (1..=11).collect();
    core.iter().for_each(|it| fleet.start_control(*it, true));
    [21, 22].into_iter().for_each(|it| fleet.start_gateway(it));

    if fleet::put(&record, &fleet, &core, 1, Duration::from_secs(20)).is_none() {
        fleet::cannot_run("no configuration was accepted");
    }
    if fleet::has_trouble() {
        for host in [1, 2] {
            fleet.kill(host);
            fleet.replace_disk(host);
        }
        record.line("1 and 2 are down and have lost their disks");
        sleep(DOWN);
        for host in [1, 2] {
            fleet.start_control(host, false);
        }
        record.line("1 and 2 start with empty disks; no disruption from here on");
    }
    sleep(RECOVERY);
    fleet::record_members(&record, &fleet, &core);
    let read = fleet::read_back(&record, &fleet, &core, READ_TIME);
    let accepted = fleet::put(&record, &fleet, &core, 2, READ_TIME).is_some();
    record.line(format!("read back: {read:?}; a change is accepted: {accepted}"));
    let what = "LOST: the configuration that was acknowledged is gone";
    fleet::finish(&record, fleet, read.is_none().then_some(what));
}
