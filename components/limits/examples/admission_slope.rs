//! Measures the time to admit and finish a request with 4, 83 and 830 services.

#![allow(clippy::print_stdout, clippy::disallowed_methods)]

use std::time::Instant;

use ids::{ByteSize, Millis, RequestId, ServiceName, Timestamp};
use limits::admission::{Admission, AdmissionSettings, Completion, Offer};
use schema::config_text::{Favour, Patience, Service};

const REQUESTS: u64 = 20_000;

fn service(number: u64) -> Service {
    Service {
        name: format!("service-{number}").parse().expect("valid name"),
        depends_on: Vec::new(),
        idempotent: true,
        patience: Patience::Prompt,
        priority: (number % 10) as u32,
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

fn main() {
    println!("| services | ns to admit and finish a request |");
    println!("|---|---|");
    for count in [4, 83, 830] {
        let services: Vec<Service> = (0..count).map(service).collect();
        let names: Vec<ServiceName> = services.iter().map(|it| it.name.clone()).collect();
        let mut admission = Admission::new(AdmissionSettings::default());
        admission.configure(&services);
        for name in &names {
            admission.set_slots(Timestamp(0), name, 36);
        }
        let started = Instant::now();
        for i in 0..REQUESTS {
            let offer = Offer {
                request: RequestId(i),
                service: names[(i % count) as usize].clone(),
                organisation: "organisation".parse().expect("valid name"),
                deadline: Timestamp(i + 10_000_000),
            };
            admission.offer(Timestamp(i), offer);
            admission.finished(Timestamp(i + 1), RequestId(i), Completion::Answered);
        }
        println!("| {count} | {} |", started.elapsed().as_nanos() / u128::from(REQUESTS));
    }
}
