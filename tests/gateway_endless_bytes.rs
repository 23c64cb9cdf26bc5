//! Tests with real processes that servers that send bytes without end harm neither callers nor gateways.

mod gateway;

use std::time::{Duration, Instant};

use gateway::{Fleet, Pour, Server, wait_for};
use schema::announcement::ServerState;

const GATEWAYS: [u8; 2] = [11, 12];

/// Most memory that a gateway may use, in kilobytes: half of the smallest host.
const MAX_MEMORY: u64 = 80_000;

fn assert_harmless(pour: Pour) {
    let servers = [1, 2, 3, 4].map(|it| Server::start(it, "queue"));
    let fleet = Fleet::start();
    fleet.put_config(1, "queue");
    servers.iter().for_each(|it| fleet.announce(it, 1, ServerState::Serving));
    fleet.wait_until_ready();
    GATEWAYS.iter().for_each(|it| fleet.wait_until_used(*it, &servers));

    *servers[0].pours.lock().unwrap() = Some(pour);
    let poured_at = Instant::now();
    let (mut all, mut served) = (0, 0);
    while poured_at.elapsed() < Duration::from_secs(5) {
        for gateway in GATEWAYS {
            let id = format!("{gateway}-{all}");
            let response = fleet.request(gateway, &id, &format!("/look/{id}"));
            all += 1;
            served += u32::from(response.is_some_and(|it| it.status == 200));
        }
    }

    assert!(served * 20 >= all * 19, "{served} of {all} requests are served");
    wait_for("closed connections", || (*servers[0].pouring.lock().unwrap() == 0).then_some(()));
    for gateway in GATEWAYS {
        let memory = fleet.peak_memory(gateway);
        assert!(memory <= MAX_MEMORY, "gateway {gateway} has used {memory} kB");
    }
}

#[test]
fn a_head_without_end_harms_nobody() {
    assert_harmless(Pour::Head);
}

#[test]
fn a_body_without_end_harms_nobody() {
    assert_harmless(Pour::Body);
}

#[test]
fn bytes_without_end_after_a_response_harm_nobody() {
    assert_harmless(Pour::AfterResponse);
}
