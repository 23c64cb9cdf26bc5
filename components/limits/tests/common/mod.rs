//! Fixtures shared by the tests.
#![allow(dead_code)]

use ids::{ByteSize, Millis, OrganisationName, ServiceName, Timestamp};
use schema::config_text::{Favour, Patience, Service};

pub fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

pub fn service_name(text: &str) -> ServiceName {
    text.parse().unwrap()
}

pub fn organisation(number: u32) -> OrganisationName {
    format!("organisation-{number}").parse().unwrap()
}

pub fn service(text: &str) -> Service {
    Service {
        name: service_name(text),
        depends_on: Vec::new(),
        idempotent: true,
        patience: Patience::Prompt,
        priority: 5,
        deadline_ms: Millis(10_000),
        floor: 1,
        favour: Favour::Speed,
        servers: 0,
        slots_per_server: 3,
        connections_per_server: 330,
        max_request_bytes: ByteSize(1_000),
        max_response_bytes: ByteSize(1_000),
        probe_path: "/probe".to_string(),
    }
}
