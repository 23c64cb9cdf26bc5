//! A service is blocked while a dependency is unavailable, and unblocked as soon as it recovers.

mod common;

use common::{at, service, service_name};
use limits::Dependencies;
use schema::config_text::Service;

fn services() -> Vec<Service> {
    let mut booking = service("booking");
    booking.depends_on = vec![service_name("deposit"), service_name("parts")];
    let mut deposit = service("deposit");
    deposit.depends_on = vec![service_name("ledger")];
    vec![booking, deposit, service("parts"), service("ledger"), service("queue")]
}

#[test]
fn a_service_is_blocked_by_direct_and_indirect_dependencies() {
    let mut dependencies = Dependencies::build(&services());

    dependencies.set_available(at(0), &service_name("ledger"), false);

    let now = at(2_000);
    assert_eq!(
        dependencies.blocked_by(now, &service_name("booking")),
        Some(&service_name("ledger"))
    );
    assert_eq!(
        dependencies.blocked_by(now, &service_name("deposit")),
        Some(&service_name("ledger"))
    );
    for unblocked in ["ledger", "parts", "queue", "no-such-service"] {
        assert_eq!(dependencies.blocked_by(now, &service_name(unblocked)), None);
    }
}

#[test]
fn short_outages_don_t_block_and_recovery_is_immediate() {
    let mut dependencies = Dependencies::build(&services());

    dependencies.set_available(at(0), &service_name("parts"), false);
    dependencies.set_available(at(900), &service_name("parts"), false);
    assert_eq!(dependencies.blocked_by(at(999), &service_name("booking")), None);
    assert!(dependencies.blocked_by(at(1_000), &service_name("booking")).is_some());
    dependencies.set_available(at(1_500), &service_name("parts"), true);
    assert_eq!(dependencies.blocked_by(at(1_500), &service_name("booking")), None);
    dependencies.set_available(at(1_600), &service_name("parts"), false);
    assert_eq!(dependencies.blocked_by(at(2_500), &service_name("booking")), None);
}

#[test]
fn a_new_configuration_keeps_the_availability_of_services() {
    let mut dependencies = Dependencies::build(&services());
    dependencies.set_available(at(0), &service_name("parts"), false);

    dependencies.configure(&services());
    assert!(dependencies.blocked_by(at(1_000), &service_name("booking")).is_some());

    let without_parts: Vec<Service> =
        services().into_iter().filter(|service| service.name != service_name("parts")).collect();
    dependencies.configure(&without_parts);
    assert_eq!(dependencies.blocked_by(at(1_000), &service_name("booking")), None);
}
