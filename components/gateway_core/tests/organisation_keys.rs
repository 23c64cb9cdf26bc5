//! Callers are known by keys; keys that an organisation doesn't hold, or no longer, run nothing.

mod common;

use common::{Harness, at, config, head, organisation, route, server};
use gateway_core::{
    ApiKey, CallerNote, Credentials, Finish, GatewayConfig, Idempotency, Organisation,
    RefusalReason, RelayEnd, RequestHead, RunStatus, Step,
};

fn config_with(version: u64, organisations: Vec<Organisation>) -> GatewayConfig {
    let mut info = route("info", Idempotency::Idempotent);
    info.is_public = true;
    let routes = vec![route("pay", Idempotency::NonIdempotent), info];
    GatewayConfig { organisations: Some(organisations), ..config(version, routes) }
}

fn harness(organisations: Vec<Organisation>) -> Harness {
    let mut harness = Harness::new(Vec::new(), vec![server(1, "north-a")], Vec::new());
    harness.gateway.set_config(config_with(2, organisations));
    harness
}

fn with_key(path: &str, key: &str) -> RequestHead {
    RequestHead { credentials: Credentials::Key(ApiKey::new(key.as_bytes())), ..head(path) }
}

#[test]
fn requests_with_unknown_missing_or_malformed_keys_are_refused() {
    let mut harness = harness(vec![organisation("acme", &["k1"])]);
    let malformed = RequestHead { credentials: Credentials::Malformed, ..head("/pay/1") };

    for request in [with_key("/pay/1", "k2"), head("/pay/1"), malformed] {
        let refusal = harness.gateway.begin(at(0), request).unwrap_err();

        assert_eq!((refusal.reason, refusal.run), (RefusalReason::UnknownKey, RunStatus::NotRun));
    }
}

#[test]
fn the_server_is_told_the_organisation_that_holds_the_key() {
    let mut harness = harness(vec![organisation("acme", &["k1"]), organisation("best", &["k2"])]);

    let id = harness.gateway.begin(at(0), with_key("/pay/1", "k2")).unwrap();

    let Step::Send(start) = harness.gateway.step(at(0), id) else { panic!("not sent") };
    assert_eq!(start.caller, CallerNote::Organisation("best".parse().unwrap()));
}

#[test]
fn a_public_route_needs_no_key_and_passes_none_on() {
    let mut harness = harness(vec![organisation("acme", &["k1"])]);

    let id = harness.gateway.begin(at(0), with_key("/info/1", "k2")).unwrap();

    let Step::Send(start) = harness.gateway.step(at(0), id) else { panic!("not sent") };
    assert_eq!(start.caller, CallerNote::Anonymous);
}

#[test]
fn a_request_that_waits_does_not_run_after_its_key_was_withdrawn() {
    let mut harness = harness(vec![organisation("acme", &["k1"])]);
    let id = harness.gateway.begin(at(0), with_key("/pay/1", "k1")).unwrap();
    harness.gateway.set_config(config_with(3, vec![organisation("acme", &["k3"])]));

    let step = harness.gateway.step(at(1), id);

    assert_eq!(harness.gateway.take_wakeups(), [id]);
    let Step::Finish(Finish::Refuse(refusal)) = step else { panic!("not refused: {step:?}") };
    assert_eq!((refusal.reason, refusal.run), (RefusalReason::UnknownKey, RunStatus::NotRun));
}

#[test]
fn a_key_that_is_given_back_works_again() {
    let mut harness = harness(vec![organisation("acme", &["k1"])]);
    harness.gateway.set_config(config_with(3, vec![organisation("acme", &[])]));
    harness.gateway.set_config(config_with(4, vec![organisation("acme", &["k1"])]));

    assert!(harness.gateway.begin(at(0), with_key("/pay/1", "k1")).is_ok());
}

#[test]
fn a_request_in_flight_is_not_hedged_after_its_key_was_withdrawn() {
    let organisations = |keys| vec![organisation("acme", keys)];
    let servers = vec![server(1, "north-a"), server(2, "north-a")];
    let mut harness = Harness::new(Vec::new(), servers, Vec::new());
    let config = |version, keys| {
        let routes = vec![route("pay", Idempotency::Idempotent)];
        GatewayConfig { organisations: Some(organisations(keys)), ..config(version, routes) }
    };
    harness.gateway.set_config(config(2, &["k1"]));
    let id = harness.gateway.begin(at(0), with_key("/pay/1", "k1")).unwrap();
    let Step::Send(_) = harness.gateway.step(at(0), id) else { panic!("not sent") };
    harness.gateway.set_config(config(3, &["k2"]));

    let step = harness.gateway.step(at(1_500), id);

    assert!(matches!(step, Step::Wait(_)), "{step:?}");
}

#[test]
fn a_waiting_request_is_known_by_its_key_once_the_configuration_holds_organisations() {
    let mut harness = Harness::new(Vec::new(), vec![server(1, "north-a")], Vec::new());
    harness.gateway.set_config(GatewayConfig { organisations: None, ..config_with(2, Vec::new()) });
    let known = harness.gateway.begin(at(0), with_key("/pay/1", "k1")).unwrap();
    let unknown = harness.gateway.begin(at(0), with_key("/pay/2", "k2")).unwrap();
    harness.gateway.set_config(config_with(3, vec![organisation("acme", &["k1"])]));

    let step = harness.gateway.step(at(1), unknown);
    let Step::Finish(Finish::Refuse(refusal)) = step else { panic!("not refused: {step:?}") };
    assert_eq!(refusal.reason, RefusalReason::UnknownKey);
    let Step::Send(start) = harness.gateway.step(at(1), known) else { panic!("not sent") };
    assert_eq!(start.caller, CallerNote::Organisation("acme".parse().unwrap()));
}

#[test]
fn a_waiting_request_of_a_public_route_outlives_its_key() {
    let mut harness = harness(vec![organisation("acme", &["k1"])]);
    let id = harness.gateway.begin(at(0), with_key("/info/1", "k1")).unwrap();
    harness.gateway.set_config(config_with(3, vec![organisation("acme", &[])]));

    let Step::Send(start) = harness.gateway.step(at(1), id) else { panic!("not sent") };
    assert_eq!(start.caller, CallerNote::Anonymous);
}

#[test]
fn a_waiting_request_whose_key_goes_to_another_organisation_is_sent_as_one_of_it() {
    let mut harness = harness(vec![organisation("acme", &["k1"])]);
    let id = harness.gateway.begin(at(0), with_key("/pay/1", "k1")).unwrap();
    harness.gateway.set_config(config_with(3, vec![organisation("best", &["k1"])]));

    let Step::Send(start) = harness.gateway.step(at(1), id) else { panic!("not sent") };
    assert_eq!(start.caller, CallerNote::Organisation("best".parse().unwrap()));
}

#[test]
fn a_gateway_that_does_not_know_the_key_leaves_the_refusal_to_the_one_that_was_asked() {
    let mut harness = harness(vec![organisation("acme", &["k1"])]);

    let refusal = harness.gateway.begin(at(0), with_key("/pay/1", "k2")).unwrap_err();

    assert_eq!(harness.gateway.relay_end_of(&refusal), RelayEnd::Unable);
}
