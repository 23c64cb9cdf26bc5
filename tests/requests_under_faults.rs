//! What callers see while links, entry hosts and backend servers have faults.

// Figures for the commit and the pages.
#![allow(clippy::print_stderr)]

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use daisypaddle::dev_fleet::free_addresses;
use fault_proxy::{Fault, FaultProxy};
use ids::Millis;
use schema::caller::DirectoryAnswer;
use stand_in::{HttpAnswer, HttpError};
use support::{Fleet, SPAWNING, get, post, wait_for};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinSet,
    time::{Instant, sleep, timeout},
};

/// Time within which a host that ended is out of new directory answers.
const DIRECTORY_LIMIT: Duration = Duration::from_secs(3);

/// Longer than the deadline of the services.
const BEYOND_DEADLINE: Duration = Duration::from_secs(6);

/// What callers were told of each key, in the order in which they sent.
type Told = BTreeMap<String, Vec<Result<HttpAnswer, HttpError>>>;

/// How often a key was run, over all servers.
fn runs_of(fleet: &Fleet, key: &str) -> u64 {
    fleet.servers.iter().filter_map(|it| it.runs().by_key().get(key).copied()).sum()
}

fn addresses(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.entries.iter().map(|it| it.caller_address).collect()
}

/// A body that is longer than what a truncated answer holds.
fn body_of(key: &str) -> String {
    format!("{}{key}", "x".repeat(4_000))
}

/// How often each outcome was told, and how many keys were run.
fn print_counts(fleet: &Fleet, name: &str, told: &Told) {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for answer in told.values().flatten() {
        let outcome = match answer {
            Ok(answer) => answer.header("daisypaddle-outcome").to_owned(),
            Err(e) => e.to_string(),
        };
        *counts.entry(outcome).or_default() += 1;
    }
    let run = told.keys().filter(|it| runs_of(fleet, it) > 0).count();
    eprintln!("{name}: {run} of {} keys ran, told {counts:?}", told.len());
}

/// Sends each key at once, to the hosts in turn.
async fn send_keys(hosts: &[SocketAddr], keys: &[String], told: &mut Told) {
    let mut callers = JoinSet::new();
    for (number, key) in keys.iter().cloned().enumerate() {
        let address = hosts[number % hosts.len()];
        callers.spawn(async move {
            let answer = post(address, &format!("/deposit/{key}"), &key, &body_of(&key)).await;
            (key, answer)
        });
    }
    for (key, answer) in callers.join_all().await {
        told.entry(key).or_default().push(answer);
    }
}

/// A run answer must be whole and the caller's own.
fn assert_own(answer: &HttpAnswer, path: &str) {
    let text = answer.text();
    assert_eq!(text.split(' ').nth(2), Some(path), "{text}");
}

/// No key ran twice, and all answers of a key are its own and equal.
fn assert_at_most_once(fleet: &Fleet, told: &Told) {
    for (key, answers) in told {
        let mut bodies = BTreeSet::new();
        for answer in answers.iter().flatten() {
            if answer.header("daisypaddle-outcome") == "ran" && answer.status == 200 {
                assert_own(answer, &format!("/deposit/{key}"));
                let rest = format!(" POST /deposit/{key} {}", body_of(key));
                assert!(answer.text().ends_with(&rest), "not whole: {}", answer.text());
                bodies.insert(answer.text());
            }
        }
        let runs = runs_of(fleet, key);
        assert!(runs <= 1, "{key} ran {runs} times: {answers:?}");
        assert!(bodies.len() <= 1, "{key} has several answers: {bodies:?}");
        assert!(bodies.is_empty() || runs == 1, "{key} is told as run");
    }
}

/// The newest answer of a key that was run must not be `not-run`.
fn assert_last_is_honest(fleet: &Fleet, told: &Told) {
    for (key, answers) in told {
        let Some(Ok(last)) = answers.last() else { continue };
        if last.header("daisypaddle-outcome") == "not-run" {
            assert_eq!(runs_of(fleet, key), 0, "{key} ran: {}", last.text());
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
            let _spawning = SPAWNING.lock().unwrap();
            free_addresses(Ipv4Addr::LOCALHOST, 1).unwrap()[0]
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
async fn faults_between_entry_and_server_leave_answers_whole() {
    let mut fleet = Fleet::start(1, 3, 1).await;
    let proxies = add_servers_behind_proxies(&mut fleet).await;
    let hosts = addresses(&fleet);
    let faults = [
        ("cut-in-head", Fault::Truncate(60)),
        ("cut-in-body", Fault::Truncate(1_000)),
        ("frozen", Fault::Frozen),
        ("late", Fault::Delay(BEYOND_DEADLINE)),
    ];

    for (name, fault) in faults {
        let keys = keys(name, 12);
        let mut told = Told::new();
        proxies.iter().for_each(|it| it.set_backward(fault));
        let mut readers = JoinSet::new();
        for number in 0..12usize {
            let address = hosts[number % hosts.len()];
            readers.spawn(async move {
                let path = format!("/queue/{name}-{number}");
                (path.clone(), get(address, &path, &[]).await)
            });
        }
        send_keys(&hosts, &keys, &mut told).await;
        assert_last_is_honest(&fleet, &told);
        print_counts(&fleet, name, &told);
        for (path, answer) in readers.join_all().await {
            let answer = answer.unwrap();
            if answer.status == 200 {
                assert_own(&answer, &path);
            } else {
                assert_ne!(answer.header("daisypaddle-outcome"), "ran", "{}", answer.text());
            }
        }
        proxies.iter().for_each(|it| it.set_backward(Fault::None));
        send_keys(&hosts, &keys, &mut told).await;
        assert_at_most_once(&fleet, &told);
        assert_last_is_honest(&fleet, &told);
        print_counts(&fleet, name, &told);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_host_that_goes_on_runs_no_key_again() {
    let mut fleet = Fleet::start(1, 4, 1).await;
    fleet.add_servers(3).await;
    fleet.servers.iter().for_each(|it| it.set_service_time(Millis(30)));
    let hosts = addresses(&fleet);
    let keys = keys("stopped", 30);

    let mut first = JoinSet::new();
    for key in keys.clone() {
        let host = hosts[0];
        first.spawn(async move {
            let answer = post(host, &format!("/deposit/{key}"), &key, &body_of(&key)).await;
            (key, answer, Instant::now())
        });
    }
    wait_for("a first run", async || keys.iter().any(|it| runs_of(&fleet, it) > 0).then_some(()))
        .await;
    fleet.entries[0].process.signal("STOP");
    let mut resent = Told::new();
    for _ in 0..3 {
        send_keys(&hosts[1..], &keys, &mut resent).await;
        sleep(Duration::from_secs(1)).await;
    }
    let continued = Instant::now();
    fleet.entries[0].process.signal("CONT");
    let mut told = Told::new();
    let mut answered_late = 0;
    for (key, answer, at) in first.join_all().await {
        // Nobody else sends now: what the host says of a key has to hold.
        if at > continued {
            answered_late += 1;
            assert_last_is_honest(&fleet, &Told::from([(key.clone(), vec![answer.clone()])]));
        }
        told.entry(key).or_default().push(answer);
    }
    eprintln!("{answered_late} first sends were answered after the stop");
    assert!(answered_late > 0, "nothing was in flight at the stop");
    for (key, answers) in resent {
        told.entry(key).or_default().extend(answers);
    }
    send_keys(&hosts, &keys, &mut told).await;

    print_counts(&fleet, "at the end", &told);
    assert_at_most_once(&fleet, &told);
    assert_last_is_honest(&fleet, &told);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_survive_the_loss_of_two_of_four_hosts() {
    let mut fleet = Fleet::start(1, 4, 1).await;
    fleet.add_servers(3).await;
    let hosts = addresses(&fleet);
    let keys = keys("before", 20);
    let mut told = Told::new();
    send_keys(&hosts, &keys, &mut told).await;

    // Further keys are in flight while the hosts are killed, also through these.
    fleet.servers.iter().for_each(|it| it.set_service_time(Millis(30)));
    let in_flight = self::keys("in-flight", 24);
    let first = tokio::spawn({
        let (hosts, in_flight) = (hosts.clone(), in_flight.clone());
        async move {
            let mut told = Told::new();
            send_keys(&hosts, &in_flight, &mut told).await;
            told
        }
    });
    wait_for("a key in flight to run", async || {
        in_flight.iter().any(|it| runs_of(&fleet, it) > 0).then_some(())
    })
    .await;
    fleet.entries[0].process.kill();
    fleet.entries[1].process.kill();
    told.extend(first.await.unwrap());
    let keys = [keys, in_flight].concat();
    send_keys(&hosts[2..], &keys, &mut told).await;
    print_counts(&fleet, "after the kill", &told);
    fleet.start_entry(0);
    fleet.start_entry(1);
    send_keys(&hosts, &keys, &mut told).await;
    assert_at_most_once(&fleet, &told);
    let restarted = Instant::now();
    for (index, address) in hosts.iter().enumerate() {
        wait_for("a new key to run", async || {
            let key = format!("new-{index}-{}", restarted.elapsed().as_millis());
            let answer = post(*address, "/deposit/new", &key, &key).await.ok()?;
            (answer.header("daisypaddle-outcome") == "ran").then_some(())
        })
        .await;
    }
    eprintln!("new keys run at every host after {:?}", restarted.elapsed());
    send_keys(&hosts, &keys, &mut told).await;

    print_counts(&fleet, "at the end", &told);
    assert_at_most_once(&fleet, &told);
    assert_last_is_honest(&fleet, &told);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_one_way_cut_runs_no_key_twice() {
    let mut fleet = Fleet::start(1, 4, 1).await;
    fleet.add_servers(3).await;
    let hosts = addresses(&fleet);
    let keys = keys("cut", 30);
    let mut told = Told::new();

    fleet.links.set(fleet.entries[0].id, fleet.entries[1].id, Fault::Blackhole);
    for _ in 0..3 {
        let twice: Vec<_> = keys.iter().flat_map(|it| [it.clone(), it.clone()]).collect();
        send_keys(&hosts[..2], &twice, &mut told).await;
    }

    let runs: u64 = keys.iter().map(|it| runs_of(&fleet, it)).sum();
    print_counts(&fleet, "one-way cut", &told);
    assert!(runs > 0, "no key was run");
    assert_at_most_once(&fleet, &told);
}

/// Whether any of the hosts names the address in a new directory answer.
async fn is_named(hosts: &[SocketAddr], address: SocketAddr) -> bool {
    for host in hosts {
        let page = get(*host, "/directory", &[]).await.unwrap();
        let answer: DirectoryAnswer = serde_json::from_slice(&page.body).unwrap();
        if answer.addresses.iter().any(|it| it.address == address) {
            return true;
        }
    }
    false
}

/// How long after `since` the address was last named.
async fn last_named(hosts: &[SocketAddr], address: SocketAddr, since: Instant) -> Duration {
    let mut last = Duration::ZERO;
    while since.elapsed() < DIRECTORY_LIMIT * 2 {
        if is_named(hosts, address).await {
            last = since.elapsed();
        }
        sleep(Duration::from_millis(20)).await;
    }
    last
}

#[tokio::test(flavor = "multi_thread")]
async fn ended_hosts_leave_new_directory_answers() {
    let mut fleet = Fleet::start(1, 5, 1).await;
    let hosts = addresses(&fleet);
    wait_for("the hosts in the directory", async || {
        (is_named(&hosts, hosts[0]).await && is_named(&hosts, hosts[1]).await).then_some(())
    })
    .await;

    let asked = Instant::now();
    fleet.entries[1].process.signal("TERM");
    let draining = last_named(&hosts[2..], hosts[1], asked).await;
    let asked = Instant::now();
    fleet.entries[0].process.kill();
    let killed = last_named(&hosts[2..], hosts[0], asked).await;

    eprintln!("last named: draining {draining:?}, killed {killed:?}");
    assert!(draining < DIRECTORY_LIMIT, "a draining host was named after {draining:?}");
    assert!(killed < DIRECTORY_LIMIT, "a killed host was named after {killed:?}");
}

/// Sends bytes, ends the sending side, and returns what came back until the connection ended.
async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let (mut rx, mut tx) = TcpStream::connect(address).await.unwrap().into_split();
    // The host may close before it has read everything.
    if tx.write_all(bytes).await.is_ok() {
        let _ = tx.shutdown().await;
    }
    let mut answer = Vec::new();
    let read = timeout(support::HANG_LIMIT, rx.read_to_end(&mut answer)).await;
    assert!(read.is_ok(), "the connection stays open");
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_from_callers_is_refused() {
    let mut fleet = Fleet::start(1, 2, 1).await;
    fleet.add_servers(1).await;
    let address = fleet.entries[0].caller_address;
    let post_head = "POST /deposit/1 HTTP/1.1\r\nhost: a\r\nidempotency-key: garbage\r\n";
    let garbage = [
        "\0\u{1}\u{2} no http at all\r\n\r\n".to_owned(),
        "GET /queue/1 HTTP/1.1\r\nno colon\r\n\r\n".to_owned(),
        format!("GET /queue/1 HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "a".repeat(70_000)),
        format!("{post_head}content-length: 70000\r\n\r\n{}", "a".repeat(70_000)),
        format!("{post_head}content-length: 1000\r\n\r\n{}", "a".repeat(500)),
        format!("{post_head}transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n"),
    ];

    for bytes in &garbage {
        let answer = send_raw(address, bytes.as_bytes()).await;
        let is_refused = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
        assert!(is_refused, "{:?} gave {answer}", bytes.get(..60));
        let next = get(address, "/queue/1", &[]).await.unwrap();
        assert_eq!(next.status, 200, "{}", next.text());
    }
    assert_eq!(runs_of(&fleet, "garbage"), 0);
}
