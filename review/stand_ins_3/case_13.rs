//! A machine of the core is killed while the system starts for the first time, and is back at once.

#[path = "fleet.rs"]
mod fleet;

use std::{thread::sleep, time::Duration};

use fleet::{Fleet, Record};

/// Time between the starts of two machines of the core; all start within 0.3 s.
const START_GAP: Duration = Duration::from_millis(50);

/// Time from the start of the last process to the kill, and until the process is back.
const KILL_AFTER: Duration = Duration::from_millis(150);
const DOWN: Duration = Duration::from_millis(500);

/// Time for which the operator sends the first configuration.
const PUT_TIME: Duration = Duration::from_secs(60);

/// Time for which the configuration is read back; at least `stableWindowMs`.
const READ_TIME: Duration = Duration::from_secs(10);

fn main() {
    let record = Record::open();
    let mut fleet = Fleet::new(5, 1);
    let core: Vec<u8> = (1..=5).collect();
    for host in [3, 2, 5, 4, 1] {
        fleet.start_control(host, true);
        sleep(START_GAP);
    }
    [21, 22].into_iter().for_each(|it| fleet.start_gateway(it));
    record.line("5 control hosts and 2 gateways start");
    if fleet::has_trouble() {
        sleep(KILL_AFTER);
        fleet.kill(1);
        record.line("1 is killed");
        sleep(DOWN);
        fleet.start_control(1, false);
        record.line("1 starts again on its disk; no disruption from here on");
    }
    let accepted = fleet::put(&record, &fleet, &core, 1, PUT_TIME).is_some();
    fleet::record_members(&record, &fleet, &core);
    let read = fleet::read_back(&record, &fleet, &core, READ_TIME);
    record.line(format!("accepted: {accepted}; read back: {read:?}"));
    let what = "CONFIG: no configuration is accepted, and the read-back doesn't come";
    fleet::finish(&record, fleet, read.is_none().then_some(what));
}
