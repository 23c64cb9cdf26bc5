//! Property test with random event schedules: each caller gets one response, no non-idempotent
//! request runs twice, and no response says `not-run` after a run that may have happened.

use std::{collections::BTreeMap, net::SocketAddr};

use arbtest::arbitrary::{Result, Unstructured};
use claims::{ClaimHost, ClaimMap};
use entry_core::{
    AttemptEnded, AttemptOutcome, CallerResponse, EntryAction, EntryCore, EntryCoreSettings,
    EntryEvent, KeyHeader, Outcome, RequestHead,
};
use fleet_core::{FleetAction, FleetCore, FleetSettings};
use ids::{
    AttemptNumber, ByteSize, ConfigVersion, ContentDigest, Epoch, Fingerprint, HostId, Incarnation,
    Millis, RequestId, RequestRate, Timestamp, WallTime,
};
use membership::{MemberRole, MemberState, MembershipSettings, Timing};
use schema::{
    announcement::{Announcement, ServerState},
    answer::Answer,
    config_text::{ConfigText, Favour, OrganisationLimit, Patience, Region, Route, Service},
    peer::PeerMessage,
    settings::Peer,
};

/// Number of random schedules.
const CASES: u64 = 120;

/// Size of the random input of a schedule, in bytes: the low 32 bits of its arbtest seed.
const CASE_BYTES: u64 = 2048;

const TICK: Millis = Millis(50);
const DEADLINE: Millis = Millis(1_000);
const ENTRY: HostId = HostId(1);
const CONTROL: HostId = HostId(2);

/// Whether an attempt has run its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Run {
    /// The attempt is in flight.
    InFlight,
    /// The attempt has ended or was cancelled, and may have run the request.
    Possible,
    /// The attempt has ended and did not run the request.
    Never,
}

/// What the test knows of a request.
#[derive(Default)]
struct TrackedRequest {
    idempotent: bool,
    caller_gone: bool,
    responses: u32,
    runs: BTreeMap<AttemptNumber, Run>,
    answers: Vec<Answer>,
}

/// An entry host with its requests, and the control host that it talks to.
struct Simulation {
    now: Timestamp,
    entry: EntryCore,
    control: FleetCore,
    requests: BTreeMap<RequestId, TrackedRequest>,
    version: u64,
    sequence: u64,
}

impl Simulation {
    /// Starts an entry host and runs it until it serves with six backend servers.
    fn serving() -> Self {
        let now = Timestamp::from_millis(1_000);
        let mut simulation = Self {
            now,
            entry: EntryCore::new(entry_settings(), now),
            control: FleetCore::new(control_settings(), now),
            requests: BTreeMap::new(),
            version: 0,
            sequence: 0,
        };
        simulation.publish_claim_map();
        simulation.publish_config(true);
        while simulation.entry.mode() != MemberState::Serving {
            assert!(
                simulation.now < Timestamp::from_millis(60_000),
                "the entry host is not serving after a minute"
            );
            simulation.step();
        }
        for number in 0..6 {
            simulation.announce(number, ServerState::Serving);
        }
        (0..10).for_each(|_| simulation.step());
        simulation
    }

    fn publish_claim_map(&mut self) {
        let own = ClaimHost {
            host: ENTRY,
            incarnation: Incarnation(1),
            data_centre: "dc0".parse().unwrap(),
            region: "north".parse().unwrap(),
        };
        let map = ClaimMap::build(Epoch(1), &[own], None);
        let content = schema::encode(map.state()).into();
        let actions = self.control.dissemination_mut().publish_claim_map(Epoch(1), content);
        self.pass_to_entry(self.control.to_fleet_actions(actions));
    }

    fn publish_config(&mut self, with_payments: bool) {
        self.version += 1;
        let text = config_text(self.version, with_payments);
        let digest = ContentDigest::of(&schema::encode(&text));
        let control = self.control.dissemination_mut();
        let actions = control.publish_config(self.now, text.version, digest, &text);
        control.set_current(true);
        self.pass_to_entry(self.control.to_fleet_actions(actions));
    }

    fn announce(&mut self, number: usize, state: ServerState) {
        self.sequence += 1;
        let service = if number.is_multiple_of(2) { "read" } else { "pay" };
        self.handle_event(EntryEvent::Announced(Announcement {
            server: format!("server-{number}").parse().unwrap(),
            service: service.parse().unwrap(),
            data_centre: "dc0".parse().unwrap(),
            address: address(9_000),
            incarnation: Incarnation(self.sequence),
            sequence: self.sequence,
            state,
            slots: 3,
            lifetime_ms: Millis(3_600_000),
        }));
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
        let actions = self.control.tick(self.now);
        self.pass_to_entry(actions);
        self.handle_event(EntryEvent::Tick);
    }

    fn pass_to_entry(&mut self, actions: Vec<FleetAction>) {
        for action in actions {
            let FleetAction::Send(it) = action else { continue };
            let incarnation = Incarnation(1);
            self.handle_event(EntryEvent::Peer { from: CONTROL, incarnation, message: it.message });
        }
    }

    fn pass_to_control(&mut self, message: PeerMessage) {
        let actions = match message {
            PeerMessage::Membership(it) => self.control.handle_membership(self.now, ENTRY, it),
            PeerMessage::Dissemination(it) => {
                self.control.handle_dissemination(self.now, ENTRY, it)
            }
            _ => return,
        };
        self.pass_to_entry(actions);
    }

    fn handle_event(&mut self, event: EntryEvent) {
        let wall = WallTime(self.now.0 / 1_000);
        for action in self.entry.handle(self.now, wall, event) {
            match action {
                EntryAction::Send(it) if it.to == CONTROL => self.pass_to_control(it.message),
                EntryAction::StartAttempt(it) => self.check_start(it.request, it.attempt),
                EntryAction::CancelAttempt { request, attempt } => {
                    let tracked = self.requests.get_mut(&request).unwrap();
                    tracked.runs.insert(attempt, Run::Possible);
                }
                EntryAction::Respond { request, response } => {
                    self.check_response(request, &response);
                }
                _ => {}
            }
        }
    }

    /// Checks that the attempt is the only possible run of a non-idempotent request.
    fn check_start(&mut self, request: RequestId, attempt: AttemptNumber) {
        let tracked = self.requests.get_mut(&request).unwrap();
        assert_eq!(tracked.responses, 0, "an attempt after the response");
        if !tracked.idempotent {
            let is_safe = tracked.runs.values().all(|it| *it == Run::Never);
            assert!(is_safe, "a possible second run of {request}: {:?}", tracked.runs);
        }
        assert_eq!(tracked.runs.insert(attempt, Run::InFlight), None);
    }

    /// Checks that the response is the only one and that its outcome is true.
    fn check_response(&mut self, request: RequestId, response: &CallerResponse) {
        let tracked = self.requests.get_mut(&request).unwrap();
        tracked.responses += 1;
        assert_eq!(tracked.responses, 1, "two responses");
        match response {
            CallerResponse::Answer { answer, replayed } => {
                assert!(
                    !replayed && tracked.answers.contains(answer),
                    "the answer of another request"
                );
            }
            CallerResponse::Refusal(it) if it.outcome == Outcome::NotRun => {
                let cannot_have_run = tracked.runs.values().all(|it| *it == Run::Never);
                assert!(cannot_have_run, "{request} may have run, not {it:?}: {:?}", tracked.runs);
            }
            CallerResponse::Refusal(_) => {}
        }
    }

    fn send_request(&mut self, idempotent: bool) {
        let id = RequestId(self.requests.len() as u64 + 1);
        self.requests.insert(id, TrackedRequest { idempotent, ..TrackedRequest::default() });
        let key = format!("key-{}", id.0).parse().unwrap();
        let head = RequestHead {
            host: "localhost".to_owned(),
            path: if idempotent { "/read" } else { "/pay" }.to_owned(),
            organisation: "somebody".parse().unwrap(),
            key: if idempotent { KeyHeader::Missing } else { KeyHeader::Given(key) },
            payload: Fingerprint::of(&id.0.to_le_bytes()),
            body_size: ByteSize(100),
            time_limit: None,
        };
        self.handle_event(EntryEvent::Request { request: id, head });
    }

    fn end_attempt(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let in_flight = self.requests.iter().flat_map(|(id, tracked)| {
            let in_flight = tracked.runs.iter().filter(|it| *it.1 == Run::InFlight);
            in_flight.map(|(attempt, _)| (*id, *attempt))
        });
        let in_flight: Vec<_> = in_flight.collect();
        if in_flight.is_empty() {
            return Ok(());
        }
        let (request, attempt) = *u.choose(&in_flight)?;
        let (outcome, run) = random_outcome(u, request, attempt)?;
        let tracked = self.requests.get_mut(&request).unwrap();
        tracked.runs.insert(attempt, run);
        if let AttemptOutcome::Answered(answer) = &outcome {
            tracked.answers.push(answer.clone());
        }
        let ended = AttemptEnded { request, attempt, outcome, reported_load: None };
        self.handle_event(EntryEvent::AttemptEnded(ended));
        Ok(())
    }

    fn disconnect_caller(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let waiting = self.requests.iter().filter(|it| it.1.responses == 0 && !it.1.caller_gone);
        let waiting: Vec<_> = waiting.map(|it| *it.0).collect();
        if waiting.is_empty() {
            return Ok(());
        }
        let request = *u.choose(&waiting)?;
        self.requests.get_mut(&request).unwrap().caller_gone = true;
        self.handle_event(EntryEvent::CallerGone { request });
        Ok(())
    }

    fn random_event(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        match u.int_in_range(0..=29)? {
            0..=5 => self.send_request(true),
            6..=11 => self.send_request(false),
            12..=21 => self.end_attempt(u)?,
            22..=25 => self.step(),
            26 => self.disconnect_caller(u)?,
            27 => self.announce(u.choose_index(6)?, ServerState::Serving),
            28 => {
                let states = [ServerState::Stopped, ServerState::Draining, ServerState::Starting];
                let state = *u.choose(&states)?;
                self.announce(u.choose_index(6)?, state);
            }
            _ => self.publish_config(u.ratio(2, 3)?),
        }
        Ok(())
    }
}

/// Draws how an attempt ends; also returns whether the request may have run in it.
fn random_outcome(
    u: &mut Unstructured<'_>,
    request: RequestId,
    attempt: AttemptNumber,
) -> Result<(AttemptOutcome, Run)> {
    let body = format!("{} {}", request.0, attempt.0).into_bytes().into();
    let answer = |status| AttemptOutcome::Answered(Answer { status, headers: Vec::new(), body });
    let shed = |proves_not_run| AttemptOutcome::Shed { proves_not_run, retry_after: None };
    Ok(match u.int_in_range(0..=7)? {
        0 => (answer(200), Run::Possible),
        1 => (answer(500), Run::Possible),
        2 => (shed(true), Run::Never),
        3 => (shed(false), Run::Possible),
        4 => (AttemptOutcome::NotSent, Run::Never),
        5 => (AttemptOutcome::ConnectionLost, Run::Possible),
        6 => (AttemptOutcome::Truncated, Run::Possible),
        _ => (AttemptOutcome::Mismatched, Run::Possible),
    })
}

#[test]
fn each_caller_is_answered_once_and_truly() {
    let mut attempts = 0;
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| {
            let mut simulation = Simulation::serving();
            while !u.is_empty() && simulation.random_event(u).is_ok() {}
            let end = simulation.now + DEADLINE + DEADLINE + DEADLINE;
            while simulation.now < end {
                simulation.step();
            }
            for (request, tracked) in simulation.requests.iter().filter(|it| !it.1.caller_gone) {
                assert_eq!(tracked.responses, 1, "{request} was not answered");
            }
            attempts += simulation.requests.values().map(|it| it.runs.len()).sum::<usize>();
            let claimed =
                simulation.requests.values().filter(|it| !it.idempotent && !it.runs.is_empty());
            assert!(claimed.count() > 0 || simulation.requests.len() < 50, "no claim was granted");
            Ok(())
        })
        .seed(seed)
        .run();
    }
    assert!(attempts > 1_000, "only {attempts} attempts");
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn peer(host: HostId, port: u16) -> Peer {
    Peer {
        host,
        region: "north".parse().unwrap(),
        data_centre: "dc0".parse().unwrap(),
        peer_address: address(port),
    }
}

fn entry_settings() -> EntryCoreSettings {
    EntryCoreSettings {
        host: ENTRY,
        region: "north".parse().unwrap(),
        data_centre: "dc0".parse().unwrap(),
        incarnation: Incarnation(1),
        caller_address: address(1),
        peer_address: address(2),
        admin_address: address(3),
        peers: vec![peer(CONTROL, 4)],
        seed: 1,
        drain: Millis(1_000),
    }
}

fn control_settings() -> FleetSettings {
    let membership = MembershipSettings {
        host: CONTROL,
        role: MemberRole::Control,
        region: "north".parse().unwrap(),
        data_centre: "dc0".parse().unwrap(),
        incarnation: Incarnation(1),
        peer_address: address(4),
        admin_address: address(5),
        seed: 2,
        timing: Timing::default(),
    };
    FleetSettings { membership, peers: vec![peer(ENTRY, 2)] }
}

fn config_text(version: u64, with_payments: bool) -> ConfigText {
    let names: &[&str] = if with_payments { &["read", "pay"] } else { &["read"] };
    let route = |name: &&str| Route {
        host: "*".to_owned(),
        path: format!("/{name}"),
        service: name.parse().unwrap(),
    };
    ConfigText {
        version: ConfigVersion(version),
        regions: vec![Region {
            name: "north".parse().unwrap(),
            data_centres: vec!["dc0".parse().unwrap()],
        }],
        services: names.iter().map(|it| service(it)).collect(),
        routes: names.iter().map(route).collect(),
        organisations: Vec::new(),
        default_organisation: OrganisationLimit {
            requests_per_second: RequestRate(1_000),
            burst: 1_000,
        },
    }
}

fn service(name: &str) -> Service {
    Service {
        servers: 0,
        name: name.parse().unwrap(),
        depends_on: Vec::new(),
        idempotent: name == "read",
        patience: Patience::Prompt,
        priority: 5,
        deadline_ms: DEADLINE,
        floor: 2,
        favour: Favour::Speed,
        slots_per_server: 3,
        connections_per_server: 330,
        max_request_bytes: ByteSize(10_000),
        max_response_bytes: ByteSize(10_000),
        probe_path: "/probe".to_owned(),
    }
}
