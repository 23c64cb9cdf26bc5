//! Measures the time, memory, messages and bytes per claim for several numbers of held claims.
//!
//! `cargo run --release -p claims --example claims_slope`
#![allow(clippy::print_stdout, clippy::disallowed_methods)]

use std::{collections::VecDeque, fs, time::Instant};

use claims::{
    ClaimAction, ClaimHost, ClaimKey, ClaimMap, Claims, ClaimsSettings, Decision, Ticket,
};
use ids::{
    ByteSize, Epoch, Fingerprint, HostId, Incarnation, KeyDigest, RequestId, Timestamp, WallTime,
};
use schema::claims::{ClaimsMessage, StoredAnswer};

const HELD_CLAIMS: [u64; 3] = [1_000, 10_000, 100_000];
const REPLICAS: u32 = 3;
const ANSWER_BYTES: usize = 512;
const PAGE_BYTES: u64 = 4096;

/// The total cost of one part of the protocol in a run.
#[derive(Default)]
struct Totals {
    nanos: u128,
    messages: u64,
    encoded_bytes: u64,
}

/// The totals of a run: of the claims up to their grants, and of storing the outcomes.
#[derive(Default)]
struct Run {
    claim: Totals,
    finish: Totals,
}

/// The processes under measurement and their fixed clocks.
struct Bench {
    nodes: Vec<Claims>,
    now: Timestamp,
    wall: WallTime,
}

fn main() {
    println!("claims  part      ns  messages  encoded_bytes  memory_bytes_per_replica");
    for count in HELD_CLAIMS {
        let before = resident_bytes();
        let mut bench = new_bench();
        let run = bench.run(count);
        let memory = resident_bytes().saturating_sub(before) / count / u64::from(REPLICAS);
        for (part, totals) in [("claim ", run.claim), ("finish", run.finish)] {
            println!(
                "{count:6}  {part}  {:6}  {:8}  {:13}  {memory:24}",
                totals.nanos / u128::from(count),
                totals.messages / count,
                totals.encoded_bytes / count,
            );
        }
        assert!(bench.nodes.iter().all(|it| it.status().open == 0));
    }
}

/// Returns three replicas in one data centre, the first of which is also the entry host.
fn new_bench() -> Bench {
    let hosts: Vec<_> = (1..=REPLICAS).map(claim_host).collect();
    let map = ClaimMap::build(Epoch(1), &hosts, None);
    let (now, wall) = (Timestamp(1), WallTime(1_000_000));
    let mut nodes = Vec::new();
    for host in hosts {
        let mut settings = ClaimsSettings::default();
        settings.replica.max_claims = 1_000_000;
        settings.replica.max_answer_bytes = ByteSize(1 << 30);
        let mut node = Claims::new(host.host, host.incarnation, settings);
        node.set_map(now, wall, map.clone());
        nodes.push(node);
    }
    Bench { nodes, now, wall }
}

fn claim_host(number: u32) -> ClaimHost {
    ClaimHost {
        host: HostId(number),
        incarnation: Incarnation(1),
        data_centre: "a".parse().expect("a valid name"),
        region: "r".parse().expect("a valid name"),
    }
}

impl Bench {
    fn run(&mut self, count: u64) -> Run {
        let mut run = Run::default();
        let payload = Fingerprint([7; 16]);
        for number in 0..count {
            let request = RequestId(number);
            let ticket = Ticket {
                home: "a".parse().expect("a valid name"),
                epoch: Epoch(1),
                minted: self.wall,
            };
            let digest = KeyDigest::of(&number.to_be_bytes());
            let key = ClaimKey { digest, ticket: Some(ticket) };

            let start = Instant::now();
            let actions = self.nodes[0].begin(self.now, self.wall, request, key, payload);
            let granted = self.deliver(actions, &mut run.claim);
            run.claim.nanos += start.elapsed().as_nanos();
            assert!(granted, "claim {number} was not granted");

            let answer = StoredAnswer::Kept(vec![0; ANSWER_BYTES].into());
            let start = Instant::now();
            let actions = self.nodes[0].finish(self.now, self.wall, request, answer);
            self.deliver(actions, &mut run.finish);
            run.finish.nanos += start.elapsed().as_nanos();
        }
        run
    }

    /// Delivers messages through the codec until none is left; returns whether a claim was granted.
    fn deliver(&mut self, actions: Vec<ClaimAction>, totals: &mut Totals) -> bool {
        let mut granted = false;
        let entry = HostId(1);
        let mut queue: VecDeque<_> = actions.into_iter().map(|it| (entry, it)).collect();
        while let Some((from, action)) = queue.pop_front() {
            match action {
                ClaimAction::Decided { decision, .. } => granted |= decision == Decision::Granted,
                ClaimAction::Send { to, message } => {
                    let data = schema::encode(&message);
                    totals.messages += 1;
                    totals.encoded_bytes += data.len() as u64;
                    let message = schema::decode::<ClaimsMessage>(&data)
                        .expect("a message that was just encoded");
                    let node = &mut self.nodes[to.0 as usize - 1];
                    let replies = node.handle(self.now, self.wall, from, Incarnation(1), message);
                    queue.extend(replies.into_iter().map(|it| (to, it)));
                }
            }
        }
        granted
    }
}

/// Returns the resident memory of the process, from the kernel's count of pages.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|it| it.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
