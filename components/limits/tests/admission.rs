//! Admission control bounds queues, is fair to organisations, and makes one final decision per
//! request.

mod common;

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use common::{at, organisation, service, service_name};
use ids::{Millis, RequestId, Timestamp};
use limits::admission::{
    Admission, AdmissionAction, AdmissionDecision, AdmissionSettings, Completion, Offer,
};
use schema::config_text::{Patience, Service};

const CASES: u64 = 300;
const CASE_BYTES: u64 = 2_048;

const SETTINGS: AdmissionSettings = AdmissionSettings { max_in_flight: 12, max_queued: 20 };

fn services() -> Vec<Service> {
    let mut dispatch = service("dispatch");
    dispatch.priority = 9;
    let mut archive = service("archive");
    archive.priority = 1;
    archive.patience = Patience::Patient;
    vec![dispatch, archive]
}

fn admission() -> Admission {
    let mut admission = Admission::new(SETTINGS);
    admission.configure(&services());
    for service in services() {
        admission.set_slots(at(0), &service.name, 36);
    }
    admission
}

fn offer(request: u64, service: &str, org: u32, deadline: u64) -> Offer {
    Offer {
        request: RequestId(request),
        service: service_name(service),
        organisation: organisation(org),
        deadline: at(deadline),
    }
}

/// Offers requests of one organisation until one is queued; returns the next request id.
fn fill_until_queued(admission: &mut Admission, service: &str, org: u32) -> u64 {
    for request in 0.. {
        let decision = admission.offer(at(0), offer(request, service, org, 60_000));
        if decision != AdmissionDecision::Start {
            return request + 1;
        }
    }
    unreachable!("limits are finite")
}

#[test]
fn prompt_requests_are_refused_when_the_wait_is_too_long() {
    let mut admission = admission();
    let next = fill_until_queued(&mut admission, "dispatch", 0);

    let refused = admission.offer(at(0), offer(next, "dispatch", 1, 10));
    let queued = admission.offer(at(0), offer(next + 1, "dispatch", 1, 5_000));

    let AdmissionDecision::Refused { retry_after } = refused else { panic!("{refused:?}") };
    assert!(retry_after > Millis(0));
    assert_eq!(queued, AdmissionDecision::Queued);
}

#[test]
fn without_servers_prompt_requests_are_refused_and_patient_ones_wait() {
    let mut admission = admission();
    for service in services() {
        admission.set_slots(at(0), &service.name, 0);
    }

    let prompt = admission.offer(at(0), offer(1, "dispatch", 0, 60_000));
    let patient = admission.offer(at(0), offer(2, "archive", 0, 60_000));
    let started = admission.set_slots(at(50_000), &service_name("archive"), 3);

    assert!(matches!(prompt, AdmissionDecision::Refused { .. }));
    assert_eq!(patient, AdmissionDecision::Queued);
    assert_eq!(started, [AdmissionAction::Start { request: RequestId(2) }]);
}

#[test]
fn queued_requests_expire_at_their_deadline() {
    let mut admission = admission();
    let next = fill_until_queued(&mut admission, "archive", 0);
    let last = RequestId(next - 1);

    assert_eq!(admission.tick(at(59_999)), []);
    let expired = admission.tick(at(60_000));

    assert!(matches!(expired[..], [AdmissionAction::Expire { request, .. }] if request == last));
}

#[test]
fn an_organisation_with_a_long_queue_doesn_t_delay_another() {
    let mut admission = admission();
    let first_queued = fill_until_queued(&mut admission, "archive", 0) - 1;
    for request in first_queued + 1..first_queued + 30 {
        admission.offer(at(0), offer(request, "archive", 0, 60_000));
    }

    let other = admission.offer(at(1), offer(1_000, "archive", 1, 60_000));
    let mut started = Vec::new();
    for request in 0..2 {
        started.extend(admission.finished(at(100), RequestId(request), Completion::Failed));
    }

    assert_eq!(other, AdmissionDecision::Queued);
    assert!(started.contains(&AdmissionAction::Start { request: RequestId(1_000) }));
}

#[test]
fn a_flooded_service_leaves_permits_for_another() {
    let mut admission = admission();
    let mut started = Vec::new();
    for request in 0..100 {
        if admission.offer(at(0), offer(request, "dispatch", 0, 60_000)) == AdmissionDecision::Start
        {
            started.push(request);
        }
    }
    // Responses raise the limit of the flooded service until only the permits of the host bound it.
    for round in 1..200 {
        let request = started.remove(0);
        for action in admission.finished(at(round), RequestId(request), Completion::Answered) {
            if let AdmissionAction::Start { request } = action {
                started.push(request.0);
            }
        }
        let next = 1_000 + round;
        if admission.offer(at(round), offer(next, "dispatch", 0, 60_000))
            == AdmissionDecision::Start
        {
            started.push(next);
        }
    }

    assert_eq!(admission.in_flight(), SETTINGS.max_in_flight - 3);
    for request in 0..3 {
        let decision = admission.offer(at(300), offer(9_000 + request, "archive", 0, 60_000));
        assert_eq!(decision, AdmissionDecision::Start);
    }
}

#[test]
fn a_removed_service_releases_its_permits_and_its_queue_expires() {
    let mut admission = admission();
    let next = fill_until_queued(&mut admission, "archive", 0);
    let started = admission.in_flight();

    let actions = admission.configure(&services()[..1]);
    let late = admission.finished(at(10), RequestId(0), Completion::Answered);

    assert!(started > 0);
    assert_eq!(admission.in_flight(), 0);
    assert!(matches!(
        actions[..],
        [AdmissionAction::Expire { request: RequestId(expired), .. }] if expired == next - 1
    ));
    assert!(late.is_empty());
    let refused = admission.offer(at(10), offer(next, "archive", 0, 60_000));
    assert!(matches!(refused, AdmissionDecision::Refused { .. }));
    for request in 0..u64::from(SETTINGS.max_in_flight) {
        admission.offer(at(10), offer(100 + request, "dispatch", 0, 60_000));
    }
    assert_eq!(admission.in_flight(), admission.limit(&service_name("dispatch")));
}

#[test]
fn sheds_lower_the_limit_and_answers_raise_it() {
    let mut admission = admission();
    let initial = admission.limit(&service_name("dispatch"));
    let mut now = 0;
    let mut request = 0;
    let mut run = |admission: &mut Admission, completion| {
        for _ in 0..60 {
            now += 200;
            let batch = admission.limit(&service_name("dispatch"));
            for i in 0..u64::from(batch) {
                admission.offer(at(now), offer(request + i, "dispatch", 0, now + 10_000));
            }
            for i in 0..u64::from(batch) {
                admission.finished(at(now + 100), RequestId(request + i), completion);
            }
            request += u64::from(batch);
        }
        admission.limit(&service_name("dispatch"))
    };

    let shed = run(&mut admission, Completion::Shed);
    let answered = run(&mut admission, Completion::Answered);

    assert_eq!(shed, 1);
    assert!(answered > initial);
}

/// The state of a request according to the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestState {
    Queued,
    Started,
    Refused,
    Done,
}

/// Applies random events and checks that each request gets one final decision.
struct Model {
    admission: Admission,
    /// State and deadline of each request.
    requests: BTreeMap<u64, (RequestState, Timestamp)>,
    now: Timestamp,
}

impl Model {
    fn apply(&mut self, actions: Vec<AdmissionAction>) {
        for action in actions {
            let (request, next) = match action {
                AdmissionAction::Start { request } => (request, RequestState::Started),
                AdmissionAction::Expire { request, .. } => (request, RequestState::Refused),
            };
            let (state, deadline) = self.requests.get_mut(&request.0).unwrap();
            assert_eq!(*state, RequestState::Queued, "{action:?}");
            assert!(next == RequestState::Refused || self.now <= *deadline);
            *state = next;
        }
    }

    fn offer(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let request = self.requests.len() as u64;
        let service = *u.choose(&["dispatch", "archive"])?;
        let deadline = self.now + Millis(u.int_in_range(0..=3_000)?);
        let offer = Offer {
            request: RequestId(request),
            service: service_name(service),
            organisation: organisation(u.int_in_range(0..=3)?),
            deadline,
        };
        let state = match self.admission.offer(self.now, offer) {
            AdmissionDecision::Start => RequestState::Started,
            AdmissionDecision::Queued => RequestState::Queued,
            AdmissionDecision::Refused { .. } => RequestState::Refused,
        };
        self.requests.insert(request, (state, deadline));
        Ok(())
    }

    fn choose_in_state(
        &self,
        u: &mut Unstructured<'_>,
        wanted: &[RequestState],
    ) -> Result<Option<u64>> {
        let all: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, (state, _))| wanted.contains(state))
            .map(|(&request, _)| request)
            .collect();
        if all.is_empty() { Ok(None) } else { u.choose(&all).copied().map(Some) }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now = self.now + Millis(u.int_in_range(0..=40)?);
        match u.int_in_range(0..=9)? {
            0..=4 => self.offer(u)?,
            5..=6 => {
                let Some(request) = self.choose_in_state(u, &[RequestState::Started])? else {
                    return Ok(());
                };
                let completion =
                    *u.choose(&[Completion::Answered, Completion::Shed, Completion::Failed])?;
                self.requests.get_mut(&request).unwrap().0 = RequestState::Done;
                let actions = self.admission.finished(self.now, RequestId(request), completion);
                self.apply(actions);
            }
            7 => {
                let wanted = [RequestState::Started, RequestState::Queued];
                let Some(request) = self.choose_in_state(u, &wanted)? else { return Ok(()) };
                self.requests.get_mut(&request).unwrap().0 = RequestState::Done;
                let actions = self.admission.cancel(self.now, RequestId(request));
                self.apply(actions);
            }
            8 => {
                let service = service_name(u.choose(&["dispatch", "archive"])?);
                let slots = u.int_in_range(0..=36)?;
                let actions = self.admission.set_slots(self.now, &service, slots);
                self.apply(actions);
            }
            _ => {
                let actions = self.admission.tick(self.now);
                self.apply(actions);
            }
        }
        self.check();
        Ok(())
    }

    fn count(&self, wanted: RequestState) -> u32 {
        self.requests.values().filter(|(state, _)| *state == wanted).count() as u32
    }

    fn check(&self) {
        let queued = self.admission.queued(&service_name("dispatch"))
            + self.admission.queued(&service_name("archive"));
        assert_eq!(queued, self.count(RequestState::Queued));
        assert_eq!(self.admission.in_flight(), self.count(RequestState::Started));
        assert!(self.admission.in_flight() <= SETTINGS.max_in_flight);
        assert!(self.admission.queued(&service_name("dispatch")) <= SETTINGS.max_queued);
        assert!(self.admission.queued(&service_name("archive")) <= SETTINGS.max_queued);
    }

    /// Answers all started requests until each request has its final decision.
    fn finish(&mut self) {
        for service in services() {
            let actions = self.admission.set_slots(self.now, &service.name, 36);
            self.apply(actions);
        }
        while self.count(RequestState::Started) > 0 || self.count(RequestState::Queued) > 0 {
            self.now = self.now + Millis(100);
            let started: Vec<u64> = self
                .requests
                .iter()
                .filter(|(_, (state, _))| *state == RequestState::Started)
                .map(|(&request, _)| request)
                .collect();
            for request in started {
                self.requests.get_mut(&request).unwrap().0 = RequestState::Done;
                let actions =
                    self.admission.finished(self.now, RequestId(request), Completion::Answered);
                self.apply(actions);
            }
            let actions = self.admission.tick(self.now);
            self.apply(actions);
            self.check();
        }
    }
}

#[test]
fn each_request_gets_exactly_one_final_decision() {
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| {
            let mut model = Model { admission: admission(), requests: BTreeMap::new(), now: at(0) };
            while model.step(u).is_ok() && !u.is_empty() {}
            model.finish();
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

/// Queues requests of random organisations and starts them one at a time.
///
/// Returns the number of queued requests per organisation, and the organisations in the order in
/// which their requests started.
fn start_order(u: &mut Unstructured<'_>) -> Result<(BTreeMap<u32, usize>, Vec<u32>)> {
    let mut admission = admission();
    let archive = service_name("archive");
    admission.set_slots(at(0), &archive, 0);
    let (mut organisations, mut queued) = (Vec::new(), BTreeMap::new());
    for request in 0..u.int_in_range(1..=80)? {
        let org = if u.ratio(2, 3)? { 0 } else { u.int_in_range(1..=5)? };
        let decision = admission.offer(at(0), offer(request, "archive", org, 60_000));
        organisations.push(org);
        if decision == AdmissionDecision::Queued {
            *queued.entry(org).or_default() += 1;
        }
    }
    let mut order = Vec::new();
    let mut actions = admission.set_slots(at(0), &archive, 1);
    while let Some(AdmissionAction::Start { request }) = actions.pop() {
        order.push(organisations[request.0 as usize]);
        actions = admission.finished(at(1), request, Completion::Failed);
    }
    Ok((queued, order))
}

#[test]
fn organisations_take_turns() {
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| {
            let (queued, order) = start_order(u)?;
            assert_eq!(order.len(), queued.values().sum::<usize>());
            for (org, &count) in &queued {
                let starts = order.iter().enumerate().filter(|(_, started)| *started == org);
                let positions: Vec<usize> = starts.map(|(position, _)| position).collect();
                assert_eq!(positions.len(), count);
                // Request `n` of an organisation starts within the first n + 1 rounds.
                assert!(positions.iter().enumerate().all(|(n, &at)| at < (n + 1) * queued.len()));
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}
