//! A gateway that control doesn't reach takes no keys where withdrawals are strict.

mod common;

use common::{at, config, head, route, server, settings, unchanged_update};
use gateway_core::{
    ApiKey, CallerNote, Credentials, Finish, Gateway, GatewayConfig, Idempotency, KeyWithdrawal,
    Organisation, RefusalReason, RelayEnd, RequestHead, RunStatus, Step,
};
use ids::{ConfigVersion, Millis, RequestId, Timestamp};

fn gateway(is_strict: bool) -> Gateway {
    let key_withdrawal = Some(KeyWithdrawal { within: Millis(5_000), is_strict });
    let settings = gateway_core::GatewaySettings { key_withdrawal, ..settings(common::OWN_HOST) };
    let servers = vec![server(1, "north-a"), server(2, "north-a")];
    let mut gateway = common::gateway_with(settings, Vec::new(), servers, Vec::new());
    gateway.set_config(config_with_keys(2));
    gateway
}

fn config_with_keys(version: u64) -> GatewayConfig {
    let mut info = route("info", Idempotency::Idempotent);
    info.is_public = true;
    let acme = Organisation {
        name: "acme".parse().unwrap(),
        keys: vec![ApiKey::new(b"k1")],
        priority: None,
        limit: None,
    };
    let routes = vec![route("pay", Idempotency::Idempotent), info];
    GatewayConfig { organisations: Some(vec![acme]), ..config(version, routes) }
}

fn request() -> RequestHead {
    RequestHead { credentials: Credentials::Key(ApiKey::new(b"k1")), ..head("/pay/1") }
}

/// Answers a poll of this time at another one.
fn hear(gateway: &mut Gateway, sent: Timestamp, answered: Timestamp) {
    let poll = gateway.poll(sent).expect("a poll is due");
    let update = unchanged_update(poll.poll.sequence, [common::CONTROL_HOST]);
    gateway.on_update(answered, poll.to, update);
}

fn assert_outdated(gateway: &mut Gateway, now: Timestamp, id: RequestId) {
    let step = gateway.step(now, id);
    let Step::Finish(Finish::Refuse(refusal)) = step else { panic!("not refused: {step:?}") };
    assert_eq!((refusal.reason, refusal.run), (RefusalReason::KeysOutdated, RunStatus::NotRun));
}

#[test]
fn a_gateway_cut_off_from_control_takes_no_key_until_it_hears_again() {
    let mut gateway = gateway(true);
    assert!(gateway.is_ready(at(4_400)));
    assert!(gateway.begin(at(4_400), request()).is_ok());

    let refusal = gateway.begin(at(4_500), request()).unwrap_err();

    assert_eq!((refusal.reason, refusal.run), (RefusalReason::KeysOutdated, RunStatus::NotRun));
    assert!(refusal.retry_after.is_some_and(|it| it <= Millis(500)));
    assert_eq!(gateway.relay_end_of(&refusal), RelayEnd::Unable);
    assert!(!gateway.is_ready(at(4_500)));
    assert!(gateway.begin(at(4_500), head("/info/1")).is_ok());
    hear(&mut gateway, at(4_600), at(4_700));
    assert!(gateway.is_ready(at(4_700)));
    assert!(gateway.begin(at(4_700), request()).is_ok());
}

#[test]
fn a_request_of_a_public_route_with_a_key_goes_on_anonymously_without_control() {
    let mut gateway = gateway(true);
    let request = || RequestHead { credentials: request().credentials, ..head("/info/1") };
    let waiting = gateway.begin(at(4_400), request()).unwrap();

    let begun = gateway.begin(at(4_500), request()).unwrap();

    for id in [waiting, begun] {
        let Step::Send(start) = gateway.step(at(4_500), id) else { panic!("not sent") };
        assert_eq!(start.caller, CallerNote::Anonymous);
    }
}

#[test]
fn a_gateway_that_cannot_decode_a_newer_configuration_takes_no_key() {
    let mut gateway = gateway(true);
    let waiting = gateway.begin(at(100), request()).unwrap();

    gateway.on_undecoded_config(ConfigVersion(3));

    assert_outdated(&mut gateway, at(100), waiting);
    assert!(gateway.begin(at(100), request()).is_err());
    assert!(!gateway.is_ready(at(100)));
    assert!(gateway.begin(at(100), head("/info/1")).is_ok());
    gateway.set_config(config_with_keys(4));
    assert!(gateway.begin(at(100), request()).is_ok());
}

#[test]
fn a_gateway_goes_on_after_an_older_configuration_that_it_could_not_decode() {
    let mut gateway = gateway(true);

    gateway.on_undecoded_config(ConfigVersion(1));

    assert!(gateway.is_ready(at(100)));
}

#[test]
fn an_answer_that_was_long_on_its_way_counts_from_its_poll() {
    let mut gateway = gateway(true);
    hear(&mut gateway, at(1_000), at(2_500));

    assert!(gateway.is_ready(at(5_400)));
    assert!(!gateway.is_ready(at(5_500)));
}

#[test]
fn a_request_that_waits_at_a_gateway_cut_off_from_control_is_not_sent() {
    let mut gateway = gateway(true);
    let id = gateway.begin(at(4_400), request()).unwrap();

    assert_outdated(&mut gateway, at(4_500), id);
}

#[test]
fn a_request_in_flight_at_a_gateway_cut_off_from_control_is_not_hedged() {
    let mut gateway = gateway(true);
    let id = gateway.begin(at(4_400), request()).unwrap();
    let Step::Send(_) = gateway.step(at(4_400), id) else { panic!("not sent") };

    let step = gateway.step(at(5_900), id);

    assert!(matches!(step, Step::Wait(_)), "{step:?}");
}

#[test]
fn a_gateway_cut_off_from_control_goes_on_where_withdrawals_are_not_strict() {
    let mut gateway = gateway(false);

    assert!(gateway.is_ready(at(60_000)));
    assert!(gateway.begin(at(60_000), request()).is_ok());
}

#[test]
fn a_gateway_without_organisations_goes_on_without_control() {
    let mut gateway = gateway(true);
    gateway.set_config(config(3, vec![route("pay", Idempotency::Idempotent)]));

    assert!(gateway.is_ready(at(60_000)));
    assert!(gateway.begin(at(60_000), head("/pay/1")).is_ok());
}
