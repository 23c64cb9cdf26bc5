//! Ejections never reduce a rotation below the floor of its service.

mod common;

use arbtest::arbitrary::{self, Unstructured};
use common::{data_centre, host_health, known_server, live_host, server_id, service};
use health::{Health, KnownServer, KnownState, Observation, OutcomeKind, ServerStatus};
use ids::{HostId, Incarnation, Millis, ServiceName, Timestamp};
use schema::{
    config_text::Favour,
    health::{
        EvidenceSummary, HealthMessage, OutcomeCounts, OutcomeDigest, OutcomeSource, Suspicions,
        Symptom, Verdict, VerdictStage, Verdicts,
    },
};

/// Number of random cases.
const CASES: u64 = 150;

/// Size of the random input of a case, in bytes: the low 32 bits of its arbtest seed.
const CASE_BYTES: u64 = 1024;

const HOSTS: u32 = 12;
const SERVERS: u32 = 8;
const SERVICES: [&str; 2] = ["queue", "deposit"];

struct Harness {
    now: Timestamp,
    health: Health,
    servers: Vec<KnownServer>,
    floors: [u32; 2],
}

fn harness() -> Harness {
    let servers =
        SERVICES.iter().flat_map(|name| (0..SERVERS).map(|it| known_server(name, it))).collect();
    let mut it =
        Harness { now: Timestamp::from_millis(1), health: host_health(0), servers, floors: [3, 5] };
    it.apply_config();
    it.apply_hosts(HOSTS);
    it.health.set_servers(it.now, &it.servers);
    it
}

impl Harness {
    fn apply_config(&mut self) {
        let services = [
            service(SERVICES[0], self.floors[0], Favour::Speed),
            service(SERVICES[1], self.floors[1], Favour::Certainty),
        ];
        self.health.set_services(self.now, &services);
    }

    fn apply_hosts(&mut self, hosts: u32) {
        let live: Vec<_> = (0..hosts).map(live_host).collect();
        self.health.set_hosts(self.now, &live);
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        match u.int_in_range(0..=9)? {
            0 => self.change_config(u)?,
            1 => self.change_servers(u)?,
            2 => self.apply_hosts(u.int_in_range(1..=HOSTS)?),
            3 | 4 => self.send_verdicts(u)?,
            5 => self.send_digest(u)?,
            6 | 7 => self.observe(u)?,
            8 => self.send_suspicions(u)?,
            _ => self.now = self.now + Millis(u.int_in_range(1..=20_000)?),
        }
        self.health.tick(self.now);
        Ok(())
    }

    fn change_config(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        self.floors = [u.int_in_range(0..=SERVERS + 1)?, u.int_in_range(0..=SERVERS)?];
        self.apply_config();
        Ok(())
    }

    fn change_servers(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let number = u.choose_index(self.servers.len())?;
        let server = &mut self.servers[number];
        let states = [
            KnownState::Starting,
            KnownState::Serving,
            KnownState::Serving,
            KnownState::Draining,
            KnownState::Missing,
        ];
        server.state = *u.choose(&states)?;
        server.incarnation = Incarnation(server.incarnation.0 + u.int_in_range(0..=1)?);
        server.data_centre = data_centre(u.int_in_range(0..=5)?);
        self.health.set_servers(self.now, &self.servers);
        Ok(())
    }

    fn any_server<'a>(&'a self, u: &mut Unstructured<'_>) -> arbitrary::Result<&'a KnownServer> {
        let number = u.choose_index(self.servers.len())?;
        Ok(&self.servers[number])
    }

    fn send_verdicts(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let stage = *u.choose(&[
            VerdictStage::Ejected,
            VerdictStage::Ejected,
            VerdictStage::Probation,
            VerdictStage::Cleared,
        ])?;
        let sequence = u.int_in_range(1..=1000)?;
        let count = u.int_in_range(1..=SERVERS)?;
        for _ in 0..count {
            let server = self.any_server(u)?;
            let verdict = Verdict {
                server: server.server.clone(),
                incarnation: server.incarnation,
                sequence,
                stage,
                evidence: EvidenceSummary {
                    symptom: Symptom::Failing,
                    milli_nats: 22_000,
                    data_centres: 3,
                },
            };
            for watcher in 0..2 {
                let message = Verdicts {
                    watcher: HostId(watcher + 1),
                    watcher_incarnation: Incarnation(1),
                    relay: false,
                    verdicts: vec![verdict.clone()],
                };
                self.health.handle(self.now, HostId(watcher + 1), HealthMessage::Verdicts(message));
            }
        }
        Ok(())
    }

    fn send_digest(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let server = self.any_server(u)?.clone();
        let counts = OutcomeCounts {
            source: OutcomeSource::Request,
            server: server.server,
            incarnation: server.incarnation,
            good: u.int_in_range(0..=3)?,
            slow: u.int_in_range(0..=3)?,
            failed: u.int_in_range(0..=9)?,
            wrong: u.int_in_range(0..=3)?,
        };
        let from = HostId(u.int_in_range(0..=HOSTS)?);
        let digest = OutcomeDigest { entries: vec![counts] };
        self.health.handle(self.now, from, HealthMessage::Digest(digest));
        Ok(())
    }

    fn send_suspicions(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let servers = vec![self.any_server(u)?.server.clone()];
        let message = HealthMessage::Suspicions(Suspicions { servers });
        self.health.handle(self.now, HostId(1), message);
        Ok(())
    }

    fn observe(&mut self, u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let server = self.any_server(u)?.server.clone();
        let kinds = [
            OutcomeKind::Answered,
            OutcomeKind::Failed,
            OutcomeKind::TimedOut,
            OutcomeKind::Wrong,
            OutcomeKind::Shed,
        ];
        let kind = *u.choose(&kinds)?;
        for _ in 0..u.int_in_range(1..=5)? {
            let latency = std::time::Duration::from_millis(80);
            let server = server.clone();
            let observation = Observation { server, kind, latency, was_overdue: false };
            self.health.observe(self.now, observation);
        }
        Ok(())
    }

    /// Checks that healthy servers are in rotation, and that servers other than draining ones are
    /// left out only if the floor is met.
    fn check(&self) {
        for (name, floor) in SERVICES.iter().zip(self.floors) {
            let service: ServiceName = name.parse().unwrap();
            let rotation = self.health.rotation(&service);
            let mut healthy_in_rotation = 0;
            let mut left_out = 0;
            for known in self.servers.iter().filter(|it| it.service == service) {
                let entry = rotation.iter().find(|it| it.server == known.server);
                let report = self.health.explain(self.now, &known.server).unwrap();
                let is_healthy = known.state == KnownState::Serving
                    && report.status <= ServerStatus::Suspect
                    && !report.avoided_here;
                if is_healthy {
                    let entry = entry.expect("a healthy server is in rotation");
                    assert!(!entry.last_resort && entry.weight > 0);
                    healthy_in_rotation += 1;
                }
                if known.state != KnownState::Draining && entry.is_none() {
                    left_out += 1;
                }
            }
            assert!(
                left_out == 0 || healthy_in_rotation >= floor,
                "{left_out} left out with only {healthy_in_rotation} healthy, floor {floor}"
            );
        }
    }
}

#[test]
fn ejections_leave_at_least_floor_servers() {
    let mut steps = 0;
    let mut ejections = 0;
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| {
            let mut harness = harness();
            while !u.is_empty() && harness.step(u).is_ok() {
                harness.check();
                steps += 1;
                let all = harness.health.statuses();
                ejections += all.filter(|(_, it)| *it == ServerStatus::Ejected).count();
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
    assert!(steps > 1000 && ejections > 1000, "{steps} steps, {ejections} ejections");
}

#[test]
fn ejected_servers_kept_by_the_floor_are_last_resorts() {
    let mut harness = harness();
    harness.floors = [SERVERS, 1];
    harness.apply_config();
    let ejected = server_id(SERVICES[0], 0);
    let verdict = Verdict {
        server: ejected.clone(),
        incarnation: Incarnation(1),
        sequence: 1,
        stage: VerdictStage::Ejected,
        evidence: EvidenceSummary { symptom: Symptom::Down, milli_nats: 22_000, data_centres: 3 },
    };

    for watcher in [1, 2] {
        let message = Verdicts {
            watcher: HostId(watcher),
            watcher_incarnation: Incarnation(1),
            relay: false,
            verdicts: vec![verdict.clone()],
        };
        harness.health.handle(harness.now, HostId(watcher), HealthMessage::Verdicts(message));
    }

    let rotation = harness.health.rotation(&SERVICES[0].parse().unwrap());
    let last_resorts: Vec<_> = rotation.iter().filter(|it| it.last_resort).collect();
    assert_eq!(last_resorts.len(), 1);
    assert_eq!(last_resorts[0].server, ejected);
}
