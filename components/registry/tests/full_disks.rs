//! Control hosts whose disks refuse writes: they go on without a vote, lose nothing that was
//! acknowledged, and take part again once there is room.

mod fleet;

use arbtest::arbitrary::{self, Unstructured};
use fleet::{Fleet, config};
use ids::{ConfigVersion, HostId};
use registry::{Answer, Request, UnavailableReason};

const CASES: u64 = 60;

/// Random input per case, in bytes; arbtest takes it from the low half of the seed.
const CASE_BYTES: u64 = 96;

fn version(fleet: &Fleet, host: HostId) -> ConfigVersion {
    fleet.process(host).unwrap().status(fleet.now).version
}

fn is_current(fleet: &Fleet, host: HostId) -> bool {
    fleet.process(host).unwrap().status(fleet.now).is_current
}

#[test]
fn a_leader_with_a_full_disk_gives_its_lead_up_and_comes_back() {
    let mut fleet = Fleet::new(5);
    let first = fleet.leader().unwrap();
    fleet.full_disks.insert(first);

    let failed = fleet.request(first, config(1, "a"));
    let accepted = fleet.execute(&config(2, "b"));

    let reason = UnavailableReason::DiskFailed;
    assert_eq!(fleet.answers[&failed], Answer::Unavailable(reason));
    assert_eq!(accepted, Answer::Accepted);
    assert!(fleet.leader().is_some_and(|it| it != first));
    assert!(fleet.process(first).unwrap().status(fleet.now).is_read_only);
    fleet.free_disk(first);
    fleet.run_until("the host has the change", |it| version(it, first) == ConfigVersion(2));
    fleet.run_until("all hosts vote", |it| it.voters().len() == 5);
}

#[test]
fn a_follower_with_a_full_disk_reads_on() {
    let mut fleet = Fleet::new(5);
    let follower = fleet.ids().into_iter().find(|it| Some(*it) != fleet.leader()).unwrap();
    fleet.full_disks.insert(follower);

    assert_eq!(fleet.execute(&config(1, "a")), Answer::Accepted);

    fleet.run_until("the follower has the change", |it| version(it, follower) == ConfigVersion(1));
    fleet.run_until("the follower is current", |it| is_current(it, follower));
    assert!(fleet.process(follower).unwrap().status(fleet.now).is_read_only);
}

#[test]
fn a_host_without_room_acknowledges_nothing() {
    let mut fleet = Fleet::new(3);
    let leader = fleet.leader().unwrap();
    let followers: Vec<_> = fleet.ids().into_iter().filter(|it| *it != leader).collect();
    fleet.full_disks.extend(&followers);

    let id = fleet.request(leader, config(1, "a"));
    fleet.run_for(3_000);

    assert!(!matches!(fleet.answers.get(&id), Some(Answer::Accepted)));
    for host in followers {
        fleet.free_disk(host);
    }
    assert_eq!(fleet.execute(&config(2, "b")), Answer::Accepted);
}

/// Disks of random hosts fill up and get room again while configurations are submitted; the reads
/// at the end return the newest acknowledged one.
fn run_schedule(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
    let mut fleet = Fleet::new(5);
    let (mut submitted, mut acknowledged) = (0, 0);
    while !u.is_empty() {
        let host = HostId(u.int_in_range(1..=5)?);
        match u.int_in_range(0..=5)? {
            // A change that nobody can acknowledge would wait for a majority.
            0 if fleet.full_disks.len() < 2 => {
                fleet.full_disks.insert(host);
            }
            1 => fleet.free_disk(host),
            2 => {
                fleet.stop(host);
                fleet.full_disks.remove(&host);
                fleet.start(host);
            }
            3 | 4 => {
                submitted += 1;
                if fleet.execute(&config(submitted, "text")) == Answer::Accepted {
                    acknowledged = submitted;
                }
            }
            _ => fleet.run_for(u.int_in_range(1..=2_000)?),
        }
    }
    let Answer::Config(read) = fleet.execute(&Request::ReadConfig) else {
        assert_eq!(acknowledged, 0);
        return Ok(());
    };
    assert!(read.version >= ConfigVersion(acknowledged));
    Ok(())
}

#[test]
fn random_full_disks_lose_nothing_acknowledged() {
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| match run_schedule(u) {
            // Running out of entropy ends a schedule.
            Ok(()) | Err(arbitrary::Error::NotEnoughData) => Ok(()),
            Err(e) => Err(e),
        })
        .seed(seed)
        .run();
    }
}
