//! Property tests under random faults: member tables converge once the faults end, and healthy
//! hosts are never declared lost.

mod fleet;

use arbtest::arbitrary::{Result, Unstructured};
use ids::{HostId, Millis};

use crate::fleet::Fleet;

const CASES: u64 = 120;

/// Bytes of random input per case; arbtest takes them from the low half of the seed.
const CASE_BYTES: u64 = 512;

/// Time within which all member tables converge after the last fault.
const CONVERGENCE_LIMIT: Millis = Millis(20_000);

/// Applies random faults to a fleet.
struct FaultGenerator<'a, 'b> {
    u: &'a mut Unstructured<'b>,
    data_centres: u32,
    hosts: u32,
    /// Hosts that have not been killed.
    running: Vec<HostId>,
}

impl FaultGenerator<'_, '_> {
    fn random_host(&mut self) -> Result<HostId> {
        Ok(HostId(self.u.int_in_range(0..=self.hosts - 1)?))
    }

    /// Starts or ends a random fault, then runs the fleet for up to 3 s.
    fn apply_random_fault(&mut self, fleet: &mut Fleet) -> Result<()> {
        match self.u.int_in_range(0..=7)? {
            0 => {
                let host = self.random_host()?;
                if self.running.len() > self.hosts as usize / 2 {
                    fleet.kill(host);
                    self.running.retain(|it| *it != host);
                }
            }
            1 | 2 => {
                let host = self.random_host()?;
                fleet.kill(host);
                fleet.start(host);
                self.running.retain(|it| *it != host);
                self.running.push(host);
            }
            3 => {
                let host = self.random_host()?;
                fleet.frozen.insert(host);
            }
            4 => fleet.frozen.clear(),
            5 => {
                let (from, to) = (self.random_host()?, self.random_host()?);
                fleet.block_link(from, to);
            }
            6 => fleet.blocked_links.clear(),
            // Blocks all links from one data centre to the others, in this direction only.
            _ => {
                let blocked = self.u.int_in_range(0..=self.data_centres - 1)?;
                let data_centres = self.data_centres;
                for from in (0..self.hosts).filter(|it| it % data_centres == blocked) {
                    for to in (0..self.hosts).filter(|it| it % data_centres != blocked) {
                        fleet.block_link(HostId(from), HostId(to));
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
fn member_tables_converge_after_the_faults_end() {
    for_each_case(|seed, u| {
        let data_centres = u.int_in_range(1..=3)?;
        let hosts = data_centres * u.int_in_range(2..=5)?;
        let mut fleet = Fleet::new(data_centres, hosts / data_centres, seed);
        fleet.loss_percent = u.int_in_range(0..=10)?;
        fleet.duplicate_percent = u.int_in_range(0..=10)?;
        let running = (0..hosts).map(HostId).collect();
        let mut faults = FaultGenerator { u, data_centres, hosts, running };

        for _ in 0..6 {
            if faults.apply_random_fault(&mut fleet).is_err() {
                break;
            }
        }
        fleet.blocked_links.clear();
        fleet.frozen.clear();
        fleet.loss_percent = 0;
        fleet.run(CONVERGENCE_LIMIT);

        if fleet.hosts.len() > 1 {
            assert!(fleet.has_converged(), "seed {seed}: {:?}", fleet.live_views());
        } else {
            assert!(fleet.all_isolated(), "seed {seed}: {:?}", fleet.live_views());
        }
        assert!(fleet.largest_message <= 1_200, "seed {seed}");
        Ok(())
    });
}

#[test]
fn a_one_way_link_failure_loses_no_host() {
    for_each_case(|seed, u| {
        let data_centres = u.int_in_range(1..=3)?;
        let per_data_centre = u.int_in_range(4..=9)?;
        let hosts = data_centres * per_data_centre;
        let mut fleet = Fleet::new(data_centres, per_data_centre, seed);
        let from = HostId(u.int_in_range(0..=hosts - 1)?);
        let to = HostId(u.int_in_range(0..=hosts - 1)?);
        fleet.loss_percent = u.int_in_range(0..=2)?;
        let revision = fleet.hosts[&from].own_record().revision;

        fleet.block_link(from, to);
        fleet.run(Millis(10_000));

        assert!(fleet.lost.is_empty(), "seed {seed}: {:?}", fleet.lost);
        assert_eq!(
            fleet.hosts[&from].own_record().revision,
            revision,
            "seed {seed}: the sender was suspected"
        );
        Ok(())
    });
}

#[test]
fn a_host_that_receives_nothing_declares_no_other_host_lost() {
    for_each_case(|seed, u| {
        let per_data_centre = u.int_in_range(4..=8)?;
        let mut fleet = Fleet::new(2, per_data_centre, seed);
        let blocked_host = HostId(u.int_in_range(0..=2 * per_data_centre - 1)?);
        for from in (0..2 * per_data_centre).map(HostId) {
            fleet.block_link(from, blocked_host);
        }

        fleet.run(Millis(10_000));

        assert!(fleet.lost.iter().all(|it| it.1 == blocked_host), "seed {seed}: {:?}", fleet.lost);
        Ok(())
    });
}
