//! Random faults: all hosts agree once they end, and healthy hosts are never given up.

mod fleet;

use arbtest::arbitrary::{Result, Unstructured};
use ids::{HostId, Millis};

use crate::fleet::Fleet;

const CASES: u64 = 120;
const CASE_BYTES: u64 = 512;

/// Time in which all hosts agree after the last fault.
const AGREEMENT: Millis = Millis(20_000);

/// A random schedule of faults.
struct Schedule<'a, 'b> {
    u: &'a mut Unstructured<'b>,
    data_centres: u32,
    hosts: u32,
    running: Vec<HostId>,
}

impl Schedule<'_, '_> {
    fn host(&mut self) -> Result<HostId> {
        Ok(HostId(self.u.int_in_range(0..=self.hosts - 1)?))
    }

    /// Starts or ends one fault.
    fn step(&mut self, fleet: &mut Fleet) -> Result<()> {
        match self.u.int_in_range(0..=7)? {
            0 => {
                let host = self.host()?;
                if self.running.len() > self.hosts as usize / 2 {
                    fleet.kill(host);
                    self.running.retain(|it| *it != host);
                }
            }
            1 | 2 => {
                let host = self.host()?;
                fleet.kill(host);
                fleet.start(host);
                self.running.retain(|it| *it != host);
                self.running.push(host);
            }
            3 => {
                let host = self.host()?;
                fleet.frozen.insert(host);
            }
            4 => fleet.frozen.clear(),
            5 => {
                let (from, to) = (self.host()?, self.host()?);
                fleet.cut(from, to);
            }
            6 => fleet.cuts.clear(),
            _ => {
                let side = self.u.int_in_range(0..=self.data_centres - 1)?;
                let data_centres = self.data_centres;
                for from in (0..self.hosts).filter(|it| it % data_centres == side) {
                    for to in (0..self.hosts).filter(|it| it % data_centres != side) {
                        fleet.cut(HostId(from), HostId(to));
                    }
                }
            }
        }
        let pause = self.u.int_in_range(0..=3_000)?;
        fleet.run(Millis(pause));
        Ok(())
    }
}

fn for_each_case(property: impl Fn(u64, &mut Unstructured<'_>) -> Result<()>) {
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| property(seed, u)).seed(seed).run();
    }
}

#[test]
fn hosts_agree_after_the_faults_end() {
    for_each_case(|seed, u| {
        let data_centres = u.int_in_range(1..=3)?;
        let hosts = data_centres * u.int_in_range(2..=5)?;
        let mut fleet = Fleet::new(data_centres, hosts / data_centres, seed);
        fleet.loss_percent = u.int_in_range(0..=10)?;
        fleet.duplicate_percent = u.int_in_range(0..=10)?;
        let running = (0..hosts).map(HostId).collect();
        let mut schedule = Schedule { u, data_centres, hosts, running };

        for _ in 0..6 {
            if schedule.step(&mut fleet).is_err() {
                break;
            }
        }
        fleet.cuts.clear();
        fleet.frozen.clear();
        fleet.loss_percent = 0;
        fleet.run(AGREEMENT);

        if fleet.hosts.len() > 1 {
            assert!(fleet.agrees(), "seed {seed}: {:?}", fleet.views());
        } else {
            assert!(fleet.reaches_nobody(), "seed {seed}: {:?}", fleet.views());
        }
        assert!(fleet.largest_message <= 1_200, "seed {seed}");
        Ok(())
    });
}

#[test]
fn a_cut_of_one_direction_loses_no_host() {
    for_each_case(|seed, u| {
        let data_centres = u.int_in_range(1..=3)?;
        let per_data_centre = u.int_in_range(4..=9)?;
        let hosts = data_centres * per_data_centre;
        let mut fleet = Fleet::new(data_centres, per_data_centre, seed);
        let from = HostId(u.int_in_range(0..=hosts - 1)?);
        let to = HostId(u.int_in_range(0..=hosts - 1)?);
        fleet.loss_percent = u.int_in_range(0..=2)?;
        let revision = fleet.hosts[&from].own().revision;

        fleet.cut(from, to);
        fleet.run(Millis(10_000));

        assert!(fleet.lost.is_empty(), "seed {seed}: {:?}", fleet.lost);
        assert_eq!(fleet.hosts[&from].own().revision, revision, "seed {seed}: suspected");
        Ok(())
    });
}

#[test]
fn a_host_that_hears_nobody_gives_up_nobody() {
    for_each_case(|seed, u| {
        let per_data_centre = u.int_in_range(4..=8)?;
        let mut fleet = Fleet::new(2, per_data_centre, seed);
        let deaf = HostId(u.int_in_range(0..=2 * per_data_centre - 1)?);
        for from in (0..2 * per_data_centre).map(HostId) {
            fleet.cut(from, deaf);
        }

        fleet.run(Millis(10_000));

        assert!(fleet.lost.iter().all(|it| it.1 == deaf), "seed {seed}: {:?}", fleet.lost);
        Ok(())
    });
}
