//! Tests the responses that callers receive while links, entry hosts and backend servers fail.

// The tests print the counts and times that they measure.
#![allow(clippy::print_stderr)]

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use daisypaddle::dev_fleet::free_addresses;
use fault_proxy::{Fault, FaultProxy};
use ids::Millis;
use schema::caller::DirectoryAnswer;
use stand_in::{HttpAnswer, HttpError};
use support::{Fleet, SPAWN_LOCK, get, post, unused_ip, wait_for};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Longest time until new directory responses no longer list a host that ended.
const MAX_DIRECTORY_DELAY: Duration = Duration::from_secs(3);

/// A delay beyond the deadline of the services.
const DELAY_BEYOND_DEADLINE: Duration = Duration::from_secs(6);

/// The responses to the requests with each key, in the order of the requests.
type ResponsesByKey = BTreeMap<String, Vec<Result<HttpAnswer, HttpError>>>;

/// Returns how often a key was run, over all servers.
fn run_count(fleet: &Fleet, key: &str) -> u64 {
    fleet.servers.iter().filter_map(|it| it.runs().by_key().get(key).copied()).sum()
}

fn addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.entries.iter().map(|it| it.caller_address).collect()
}

/// Returns a body that is longer than any truncated response, ending with the key.
fn request_body(key: &str) -> String {
    format!("{}{key}", "x".repeat(4_000))
}

/// Prints how many responses had each outcome, and how many keys were run.
fn print_counts(fleet: &Fleet, name: &str, responses: &ResponsesByKey) {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for response in responses.values().flatten() {
        let outcome = match response {
            Ok(response) => response.header("daisypaddle-outcome").to_owned(),
            Err(e) => e.to_string(),
        };
        *counts.entry(outcome).or_default() += 1;
    }
    let run = responses.keys().filter(|it| run_count(fleet, it) > 0).count();
    eprintln!("{name}: {run} of {} keys ran, outcomes {counts:?}", responses.len());
}

/// Sends a request with each key concurrently, to the hosts in turn, and records the responses.
async fn send_keys(hosts: &[SocketAddr], keys: &[String], responses: &mut ResponsesByKey) {
    let mut callers = JoinSet::new();
    for (number, key) in keys.iter().cloned().enumerate() {
        let address = hosts[number % hosts.len()];
        callers.spawn(async move {
            let response =
                post(address, &format!("/deposit/{key}"), &key, &request_body(&key)).await;
            (key, response)
        });
    }
    for (key, response) in callers.join_all().await {
        responses.entry(key).or_default().push(response);
    }
}

/// Checks that a response belongs to the request for this path.
fn assert_belongs_to(response: &HttpAnswer, path: &str) {
    let text = response.text();
    assert_eq!(text.split(' ').nth(2), Some(path), "{text}");
}

/// Checks that no key ran twice, and that all successful responses to a key are equal, complete and
/// its own.
fn assert_at_most_once(fleet: &Fleet, responses: &ResponsesByKey) {
    for (key, responses) in responses {
        let mut bodies = BTreeSet::new();
        for response in responses.iter().flatten() {
            if response.header("daisypaddle-outcome") == "ran" && response.status == 200 {
                assert_belongs_to(response, &format!("/deposit/{key}"));
                let rest = format!(" POST /deposit/{key} {}", request_body(key));
                assert!(response.text().ends_with(&rest), "incomplete: {}", response.text());
                bodies.insert(response.text());
            }
        }
        let runs = run_count(fleet, key);
        assert!(runs <= 1, "{key} ran {runs} times: {responses:?}");
        assert!(bodies.len() <= 1, "{key} has different responses: {bodies:?}");
        assert!(bodies.is_empty() || runs == 1, "{key} is reported as run");
    }
}

/// Checks that the last response to a key that was run does not say `not-run`.
fn assert_last_outcome_is_true(fleet: &Fleet, responses: &ResponsesByKey) {
    for (key, responses) in responses {
        let Some(Ok(last)) = responses.last() else { continue };
        if last.header("daisypaddle-outcome") == "not-run" {
            assert_eq!(run_count(fleet, key), 0, "{key} ran: {}", last.text());
        }
    }
}

fn keys(name: &str, count: usize) -> Vec<String> {
    (0..count).map(|it| format!("{name}-{it}")).collect()
}

/// Adds two servers of each service, each behind a proxy.
async fn add_servers_behind_proxies(fleet: &mut Fleet) -> Vec<FaultProxy> {
    let mut proxies = Vec::new();
    for name in ["queue-1", "queue-2", "deposit-1", "deposit-2"] {
        let target = {
            let _guard = SPAWN_LOCK.lock().unwrap();
            free_addresses(unused_ip(), 1).unwrap()[0]
        };
        let proxy = FaultProxy::start(target, 11).await.unwrap();
        let service = name.split('-').next().unwrap();
        fleet.add_server_behind(service, name, Some((target, proxy.address()))).await;
        proxies.push(proxy);
    }
    for index in 0..fleet.entries.len() {
        fleet.wait_for_entry(index, |it| it.servers.len() >= 4).await;
    }
    proxies
}

#[tokio::test(flavor = "multi_thread")]
async fn faults_between_entry_hosts_and_servers_corrupt_no_response() {
    let mut fleet = Fleet::start(1, 3, 1).await;
    let proxies = add_servers_behind_proxies(&mut fleet).await;
    let hosts = addresses(&fleet);
    let faults = [
        ("cut-in-head", Fault::Truncate(60)),
        ("cut-in-body", Fault::Truncate(1_000)),
        ("frozen", Fault::Frozen),
        ("late", Fault::Delay(DELAY_BEYOND_DEADLINE)),
    ];

    for (name, fault) in faults {
        let keys = keys(name, 12);
        let mut responses = ResponsesByKey::new();
        proxies.iter().for_each(|it| it.set_backward(fault));
        let mut readers = JoinSet::new();
        for number in 0..12usize {
            let address = hosts[number % hosts.len()];
            readers.spawn(async move {
                let path = format!("/queue/{name}-{number}");
                (path.clone(), get(address, &path, &[]).await)
            });
        }
        send_keys(&hosts, &keys, &mut responses).await;
        assert_last_outcome_is_true(&fleet, &responses);
        print_counts(&fleet, name, &responses);
        for (path, response) in readers.join_all().await {
            let response = response.unwrap();
            if response.status == 200 {
                assert_belongs_to(&response, &path);
            } else {
                assert_ne!(response.header("daisypaddle-outcome"), "ran", "{}", response.text());
            }
        }
        proxies.iter().for_each(|it| it.set_backward(Fault::None));
        send_keys(&hosts, &keys, &mut responses).await;
        assert_at_most_once(&fleet, &responses);
        assert_last_outcome_is_true(&fleet, &responses);
        print_counts(&fleet, name, &responses);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_host_that_resumes_runs_no_key_again() {
    let mut fleet = Fleet::start(1, 4, 1).await;
    fleet.add_servers(3).await;
    fleet.servers.iter().for_each(|it| it.set_service_time(Millis(30)));
    let hosts = addresses(&fleet);
    let keys = keys("stopped", 30);

    let mut first = JoinSet::new();
    for key in keys.clone() {
        let host = hosts[0];
        first.spawn(async move {
            let response = post(host, &format!("/deposit/{key}"), &key, &request_body(&key)).await;
            (key, response, Instant::now())
        });
    }
    wait_for("a first run", async || keys.iter().any(|it| run_count(&fleet, it) > 0).then_some(()))
        .await;
    fleet.entries[0].process.signal("STOP");
    let mut resent = ResponsesByKey::new();
    for _ in 0..3 {
        send_keys(&hosts[1..], &keys, &mut resent).await;
        sleep(Duration::from_secs(1)).await;
    }
    let continued = Instant::now();
    fleet.entries[0].process.signal("CONT");
    let mut responses = ResponsesByKey::new();
    let mut responses_after_resume = 0;
    for (key, response, at) in first.join_all().await {
        // No other requests are in flight now: the outcome that the host reports must be true.
        if at > continued {
            responses_after_resume += 1;
            assert_last_outcome_is_true(
                &fleet,
                &ResponsesByKey::from([(key.clone(), vec![response.clone()])]),
            );
        }
        responses.entry(key).or_default().push(response);
    }
    eprintln!("{responses_after_resume} responses arrived after the host resumed");
    assert!(responses_after_resume > 0, "no request was in flight when the host was suspended");
    for (key, repeated) in resent {
        responses.entry(key).or_default().extend(repeated);
    }
    send_keys(&hosts, &keys, &mut responses).await;

    print_counts(&fleet, "at the end", &responses);
    assert_at_most_once(&fleet, &responses);
    assert_last_outcome_is_true(&fleet, &responses);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_survive_the_loss_of_two_of_four_hosts() {
    let mut fleet = Fleet::start(1, 4, 1).await;
    fleet.add_servers(3).await;
    let hosts = addresses(&fleet);
    let keys = keys("before", 20);
    let mut responses = ResponsesByKey::new();
    send_keys(&hosts, &keys, &mut responses).await;

    // Further requests are in flight, also through the hosts that are killed.
    fleet.servers.iter().for_each(|it| it.set_service_time(Millis(30)));
    let in_flight = self::keys("in-flight", 24);
    let first = tokio::spawn({
        let (hosts, in_flight) = (hosts.clone(), in_flight.clone());
        async move {
            let mut responses = ResponsesByKey::new();
            send_keys(&hosts, &in_flight, &mut responses).await;
            responses
        }
    });
    wait_for("a key in flight to run", async || {
        in_flight.iter().any(|it| run_count(&fleet, it) > 0).then_some(())
    })
    .await;
    fleet.entries[0].process.kill();
    fleet.entries[1].process.kill();
    responses.extend(first.await.unwrap());
    let keys = [keys, in_flight].concat();
    send_keys(&hosts[2..], &keys, &mut responses).await;
    print_counts(&fleet, "after the kill", &responses);
    fleet.start_entry(0);
    fleet.start_entry(1);
    send_keys(&hosts, &keys, &mut responses).await;
    assert_at_most_once(&fleet, &responses);
    let restarted = Instant::now();
    for (index, address) in hosts.iter().enumerate() {
        wait_for("a new key to run", async || {
            let key = format!("new-{index}-{}", restarted.elapsed().as_millis());
            let response = post(*address, "/deposit/new", &key, &key).await.ok()?;
            (response.header("daisypaddle-outcome") == "ran").then_some(())
        })
        .await;
    }
    eprintln!("new keys run at every host after {:?}", restarted.elapsed());
    send_keys(&hosts, &keys, &mut responses).await;

    print_counts(&fleet, "at the end", &responses);
    assert_at_most_once(&fleet, &responses);
    assert_last_outcome_is_true(&fleet, &responses);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_one_way_cut_runs_no_key_twice() {
    let mut fleet = Fleet::start(1, 4, 1).await;
    fleet.add_servers(3).await;
    let hosts = addresses(&fleet);
    let keys = keys("cut", 30);
    let mut responses = ResponsesByKey::new();

    fleet.links.set(fleet.entries[0].id, fleet.entries[1].id, Fault::Blackhole);
    for _ in 0..3 {
        let twice: Vec<_> = keys.iter().flat_map(|it| [it.clone(), it.clone()]).collect();
        send_keys(&hosts[..2], &twice, &mut responses).await;
    }

    let runs: u64 = keys.iter().map(|it| run_count(&fleet, it)).sum();
    print_counts(&fleet, "one-way cut", &responses);
    assert!(runs > 0, "no key was run");
    assert_at_most_once(&fleet, &responses);
}

/// Returns whether a directory response of any of the hosts lists the address.
async fn is_listed(hosts: &[SocketAddr], address: SocketAddr) -> bool {
    for host in hosts {
        let page = get(*host, "/directory", &[]).await.unwrap();
        let response: DirectoryAnswer = serde_json::from_slice(&page.body).unwrap();
        if response.addresses.iter().any(|it| it.address == address) {
            return true;
        }
    }
    false
}

/// Returns how long after `since` the address was last listed.
async fn time_last_listed(hosts: &[SocketAddr], address: SocketAddr, since: Instant) -> Duration {
    let mut last = Duration::ZERO;
    while since.elapsed() < MAX_DIRECTORY_DELAY * 2 {
        if is_listed(hosts, address).await {
            last = since.elapsed();
        }
        sleep(Duration::from_millis(20)).await;
    }
    last
}

#[tokio::test(flavor = "multi_thread")]
async fn ended_hosts_are_removed_from_directory_responses() {
    let mut fleet = Fleet::start(1, 5, 1).await;
    let hosts = addresses(&fleet);
    wait_for("the hosts in the directory", async || {
        (is_listed(&hosts, hosts[0]).await && is_listed(&hosts, hosts[1]).await).then_some(())
    })
    .await;

    let start = Instant::now();
    fleet.entries[1].process.signal("TERM");
    let draining = time_last_listed(&hosts[2..], hosts[1], start).await;
    let start = Instant::now();
    fleet.entries[0].process.kill();
    let killed = time_last_listed(&hosts[2..], hosts[0], start).await;

    eprintln!("last listed: draining {draining:?}, killed {killed:?}");
    assert!(draining < MAX_DIRECTORY_DELAY, "a draining host was listed after {draining:?}");
    assert!(killed < MAX_DIRECTORY_DELAY, "a killed host was listed after {killed:?}");
}

/// Sends bytes, closes the sending side, and returns what is received until the connection ends.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let (mut rx, mut tx) = TcpStream::connect(address).await.unwrap().into_split();
    // The host may close the connection before it has read all bytes.
    if tx.write_all(bytes).await.is_ok() {
        let _ = tx.shutdown().await;
    }
    let mut response = Vec::new();
    let read = timeout(support::WAIT_TIMEOUT, rx.read_to_end(&mut response)).await;
    assert!(read.is_ok(), "the connection stays open");
    String::from_utf8_lossy(&response).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_rejected() {
    let mut fleet = Fleet::start(1, 2, 1).await;
    fleet.add_servers(1).await;
    let address = fleet.entries[0].caller_address;
    let post_head = "POST /deposit/1 HTTP/1.1\r\nhost: a\r\nidempotency-key: garbage\r\n";
    let malformed = [
        "\0\u{1}\u{2} no http at all\r\n\r\n".to_owned(),
        "GET /queue/1 HTTP/1.1\r\nno colon\r\n\r\n".to_owned(),
        format!("GET /queue/1 HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "a".repeat(70_000)),
        format!("{post_head}content-length: 70000\r\n\r\n{}", "a".repeat(70_000)),
        format!("{post_head}content-length: 1000\r\n\r\n{}", "a".repeat(500)),
        format!("{post_head}transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n"),
    ];

    for bytes in &malformed {
        let response = send_raw(address, bytes.as_bytes()).await;
        let is_rejected = response.is_empty() || response.starts_with("HTTP/1.1 4");
        assert!(is_rejected, "{:?} gave {response}", bytes.get(..60));
        let next = get(address, "/queue/1", &[]).await.unwrap();
        assert_eq!(next.status, 200, "{}", next.text());
    }
    assert_eq!(run_count(&fleet, "garbage"), 0);
}
