//! Tests that the logs and metrics show the cause of a failed request, given its id.

mod gateway;

use std::{process::Command, sync::atomic::Ordering, thread};

use gateway::{Fleet, call, serving_fleet, wait_for};
use ids::Millis;
use platform::stand_in;
use serde_json::Value;

/// Waits until `daisypaddle trace` finds an id in the logs of all hosts, and returns the log lines.
fn trace(fleet: &Fleet, id: &str) -> Vec<Value> {
    let files: Vec<_> = [1, 2, 3, 11, 12].map(|it| fleet.log_file(it)).into();
    wait_for(id, || {
        let mut command = Command::new(env!("CARGO_BIN_EXE_daisypaddle"));
        let output = command.args(["trace", id, "--around", "5000"]).args(&files).output().unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        let lines = text.lines().filter_map(|it| it.split_once(": "));
        let lines: Vec<_> = lines.map(|(_, it)| serde_json::from_str(it).unwrap()).collect();
        output.status.success().then_some(lines)
    })
}

fn find_line(lines: &[Value], id: &str) -> Value {
    lines.iter().find(|it| it["request"] == id).cloned().expect("a line with the request id")
}

fn metrics_page(fleet: &Fleet) -> String {
    let page = call(fleet.address(11, fleet.ports.metrics), "GET", "/metrics", &[], b"");
    String::from_utf8(page.unwrap().body).unwrap()
}

#[test]
fn the_trace_of_a_lost_request_shows_the_server_that_broke_the_connection() {
    let (fleet, server) = serving_fleet();
    server.drops_connections.store(true, Ordering::Relaxed);

    fleet.request(11, "lost-payment", "/pay/1").unwrap();

    let lines = trace(&fleet, "lost-payment");
    let lost = find_line(&lines, "lost-payment");
    assert_eq!(lost["outcome"], "no-answer");
    assert_eq!(lost["run"], "may-have-run");
    assert_eq!(lost["attempts"], "i-1:lost");
    assert_eq!(lost["version"], 1);
    let avoided = lines.iter().find(|it| it["msg"] == "server avoided");
    assert_eq!(avoided.expect("the server is avoided")["server"], "i-1");
    let metrics_page = metrics_page(&fleet);
    assert!(metrics_page.contains(r#"daisypaddle_attempts_total{end="lost"} 1"#), "{metrics_page}");
}

#[test]
fn the_trace_of_a_refused_request_shows_the_reason_and_that_it_did_not_run() {
    let (fleet, server) = serving_fleet();

    fleet.request(11, "no-route", "/none/1").unwrap();
    server.has_other_id.store(true, Ordering::Relaxed);
    fleet.request(11, "moved-payment", "/pay/2").unwrap();

    let unknown = find_line(&trace(&fleet, "no-route"), "no-route");
    assert_eq!(unknown["reason"], "unknown-route");
    let not_run = find_line(&trace(&fleet, "moved-payment"), "moved-payment");
    assert_eq!(not_run["run"], "not-run");
    assert_eq!(not_run["attempts"], "i-1:misplaced");
}

#[test]
fn a_request_refused_for_full_servers_says_so() {
    let (fleet, server) = serving_fleet();
    // Each server also gets two requests that wait there for a slot.
    let capacity = server.announcement.slots as usize + 2;
    thread::scope(|scope| {
        for i in 0..capacity {
            let fleet = &fleet;
            scope.spawn(move || fleet.request(11, &format!("slow-{i}"), "/look/slow"));
        }
        wait_for("full servers", || {
            let ran = server.attempt_ids().iter().filter(|it| it.starts_with("slow-")).count();
            (ran == capacity).then_some(())
        });

        let headers = stand_in::caller_headers("too-many", Millis(300));
        let address = fleet.address(11, fleet.ports.callers);
        let refused = call(address, "GET", "/look/1", &headers, b"").unwrap();

        assert_eq!(refused.status, 503);
    });
    let refused = find_line(&trace(&fleet, "too-many"), "too-many");
    assert_eq!(refused["outcome"], "busy");
    assert_eq!(refused["run"], "not-run");
    assert_eq!(refused["attempts"], "");
    assert_ne!(refused["retry_after_ms"], 0);
}

#[test]
fn the_trace_of_a_late_request_shows_the_server_that_did_not_answer_in_time() {
    let (fleet, _server) = serving_fleet();
    let headers = stand_in::caller_headers("late-look", Millis(500));
    let address = fleet.address(11, fleet.ports.callers);

    let response = call(address, "GET", "/look/slow", &headers, b"").unwrap();

    assert_eq!(response.status, 504);
    let lines = trace(&fleet, "late-look");
    let late = find_line(&lines, "late-look");
    assert_eq!(late["outcome"], "time-limit");
    assert_eq!(late["limit_ms"], 500);
    assert_eq!(late["attempts"], "i-1:in-flight");
    assert!(late["took_ms"].as_u64() >= Some(500), "{late}");
    assert!(late["waited_ms"].as_u64() < Some(500), "{late}");
    let avoided = lines.iter().find(|it| it["msg"] == "server avoided");
    assert_eq!(avoided.expect("the server is avoided")["cause"], "overdue");
}
