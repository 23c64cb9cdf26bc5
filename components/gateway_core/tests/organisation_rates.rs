//! Rates of organisations hold over the whole fleet, and are used up to near the limit: replays with
//! many gateways whose messages take time.

mod common;

use std::collections::BTreeMap;

use common::{
    at, config, data_centre, entry_host, gateway_at, head, region, route, server, settings,
};
use gateway_core::{
    ApiKey, AttemptEnd, AttemptStart, Credentials, Finish, Gateway, GatewayConfig, GatewaySettings,
    Idempotency, Organisation, OrganisationLimit, RefusalReason, RequestHead, Step,
};
use ids::{ByteSize, FastMap, FastSet, HostId, Incarnation, LimitRate, Millis, RequestId};
use rand_xoshiro::{
    Xoshiro256PlusPlus,
    rand_core::{RngCore, SeedableRng},
};
use schema::{
    organisation_rate::OrganisationRateMessage,
    server_load::LoadReport,
    sync::{EntryHostRecord, EntryHostState},
};

const PLACES: [&str; 6] = ["north-a", "north-b", "south-a", "south-b", "east-a", "east-b"];
const GATEWAYS: u32 = 96;

/// Time from a change of the fleet until its gateways hear of it.
const LIST_DELAY: u64 = 1_200;

/// Time that an admitted request takes.
const WORK: u64 = 20;

/// Time before which nothing is sent, so that the buckets fill.
const START: u64 = 5_000;

/// The organisations: their limits in requests a second.
fn organisations(rates: &[u64]) -> Vec<Organisation> {
    let all = rates.iter().enumerate().map(|(index, rate)| Organisation {
        name: format!("o{index}").parse().unwrap(),
        keys: vec![ApiKey::new(format!("k{index}").as_bytes())],
        priority: None,
        limit: Some(OrganisationLimit { rate: LimitRate(rate * 1_000), burst_milli: rate * 1_250 }),
    });
    all.collect()
}

fn config_of(version: u64, rates: &[u64]) -> GatewayConfig {
    let mut look = route("look", Idempotency::NonIdempotent);
    look.time_limit = Millis(4_000);
    GatewayConfig { organisations: Some(organisations(rates)), ..config(version, vec![look]) }
}

fn place_of(host: u32) -> &'static str {
    PLACES[host as usize % PLACES.len()]
}

fn delay(from: u32, to: u32) -> u64 {
    match () {
        () if place_of(from) == place_of(to) => 1,
        () if region(place_of(from)) == region(place_of(to)) => 2,
        () => 21,
    }
}

enum What {
    Message(HostId, OrganisationRateMessage),
    Step(RequestId),
    End(RequestId, Box<AttemptStart>),
}

/// A request that was sent: when, and the index of its organisation.
#[derive(Clone, Copy)]
struct Sent {
    at: u64,
    organisation: usize,
}

/// What callers do: returns the gateway for a request of an organisation at a time.
type ChooseGateway<'a> = &'a dyn Fn(u64, u64) -> u32;

struct Fleet {
    now: u64,
    gateways: BTreeMap<u32, Gateway>,
    frozen: FastSet<u32>,
    /// Hosts that exchange messages with each other only.
    cut_off: FastSet<u32>,
    /// Hosts that lose one in five of the messages that they send or receive.
    lossy: FastSet<u32>,
    queue: BTreeMap<(u64, u64), (u32, u64, What)>,
    /// Incarnation of each process.
    processes: FastMap<u32, u64>,
    number: u64,
    revision: u64,
    rates: Vec<u64>,
    version: u64,
    rng: Xoshiro256PlusPlus,
    owners: FastMap<(u32, RequestId), usize>,
    asked: Vec<Sent>,
    sent: Vec<Sent>,
    refused: Vec<Sent>,
    reports: Vec<(u32, u32, LoadReport)>,
    messages_between_regions: usize,
}

impl Fleet {
    fn new(rates: &[u64]) -> Self {
        let mut fleet = Self {
            now: 0,
            gateways: BTreeMap::new(),
            frozen: FastSet::default(),
            cut_off: FastSet::default(),
            lossy: FastSet::default(),
            queue: BTreeMap::new(),
            processes: FastMap::default(),
            number: 0,
            revision: 0,
            rates: rates.to_vec(),
            version: 2,
            rng: Xoshiro256PlusPlus::seed_from_u64(7),
            owners: FastMap::default(),
            asked: Vec::new(),
            sent: Vec::new(),
            refused: Vec::new(),
            reports: Vec::new(),
            messages_between_regions: 0,
        };
        let hosts: Vec<u32> = (1..=GATEWAYS).collect();
        for host in &hosts {
            fleet.start(*host, &hosts);
        }
        fleet.now = START;
        fleet
    }

    /// Starts a process that knows these hosts.
    fn start(&mut self, host: u32, listed: &[u32]) {
        let incarnation = self.processes.entry(host).or_insert(0);
        *incarnation += 1;
        let settings = GatewaySettings {
            data_centre: data_centre(place_of(host)),
            region: region(place_of(host)),
            incarnation: Incarnation(*incarnation),
            started: at(self.now),
            seed: u64::from(host),
            ..settings(HostId(host))
        };
        let servers = (1..=2).map(|it| {
            let mut server = server(it, place_of(host));
            server.slots = 100_000;
            server
        });
        let records = listed.iter().map(|it| record(*it)).collect();
        let control_hosts = vec![common::CONTROL_HOST];
        let now = at(self.now);
        let mut gateway =
            gateway_at(now, settings, Vec::new(), servers.collect(), records, control_hosts);
        gateway.set_config(config_of(self.version, &self.rates));
        gateway.poll(now);
        self.gateways.insert(host, gateway);
    }

    fn kill(&mut self, host: u32) {
        self.gateways.remove(&host);
        *self.processes.entry(host).or_insert(0) += 1;
        self.queue.retain(|_, (to, _, _)| *to != host);
    }

    /// Tells these gateways that only `listed` serve.
    fn list(&mut self, to: &[u32], listed: &[u32]) {
        self.revision += 1;
        let now = at(self.now);
        for host in to {
            let Some(gateway) = self.gateways.get_mut(host) else { continue };
            common::list_hosts(
                gateway,
                now,
                self.revision,
                listed.iter().map(|it| record(*it)).collect(),
            );
        }
    }

    fn set_rates(&mut self, rates: &[u64]) {
        self.rates = rates.to_vec();
        self.version += 1;
        let config = config_of(self.version, rates);
        for gateway in self.gateways.values_mut() {
            gateway.set_config(config.clone());
        }
    }

    fn push(&mut self, host: u32, at: u64, what: What) {
        self.number += 1;
        let process = self.processes[&host];
        self.queue.insert((at.max(self.now), self.number), (host, process, what));
    }

    fn ask(&mut self, host: u32, organisation: usize) {
        let sent = Sent { at: self.now, organisation };
        self.asked.push(sent);
        let head = RequestHead {
            credentials: Credentials::Key(ApiKey::new(format!("k{organisation}").as_bytes())),
            ..head(&format!("/look/{}", self.number))
        };
        let now = at(self.now);
        let Some(gateway) = self.gateways.get_mut(&host) else {
            self.refused.push(sent);
            return;
        };
        let id = gateway.begin(now, head).unwrap();
        self.owners.insert((host, id), organisation);
        self.push(host, self.now, What::Step(id));
    }

    fn step(&mut self, host: u32, id: RequestId) {
        let now = at(self.now);
        let Some(organisation) = self.owners.get(&(host, id)).copied() else { return };
        let sent = Sent { at: self.now, organisation };
        let gateway = self.gateways.get_mut(&host).unwrap();
        match gateway.step(now, id) {
            Step::Send(start) => {
                self.sent.push(sent);
                self.push(host, self.now + WORK, What::End(id, Box::new(start)));
            }
            Step::Wait(until) => {
                let until = self.now + until.since(now).0.max(1);
                self.push(host, until, What::Step(id));
            }
            Step::Finish(finish) => {
                if let Finish::Refuse(refusal) = finish {
                    assert_eq!(refusal.reason, RefusalReason::OverLimit);
                    assert!(refusal.retry_after.is_some());
                    self.refused.push(sent);
                }
                gateway.forget(now, id);
                self.owners.remove(&(host, id));
            }
            Step::Relay(start) => panic!("passed on: {start:?}"),
        }
    }

    /// The control hosts answer those that aren't cut off.
    fn answer_polls(&mut self) {
        let now = at(self.now);
        for (host, gateway) in &mut self.gateways {
            if !self.cut_off.contains(host) && !self.frozen.contains(host) {
                common::answer_poll(gateway, now);
            }
        }
    }

    /// Delivers what is due now.
    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (host, process, what) = entry.remove();
            if self.processes[&host] != process {
                continue;
            }
            if self.frozen.contains(&host) {
                self.push(host, self.now + 1, what);
                continue;
            }
            let now = at(self.now);
            let gateway = self.gateways.get_mut(&host).unwrap();
            match what {
                What::Message(from, message) => gateway.on_organisation_rate(now, from, &message),
                What::Step(id) => self.step(host, id),
                What::End(id, start) => {
                    let size = ByteSize(2_000);
                    gateway.attempt_ended(now, id, start.attempt, AttemptEnd::Answered, size);
                    self.push(host, self.now, What::Step(id));
                }
            }
            self.collect(host);
        }
    }

    fn is_cut(&self, one: u32, other: u32) -> bool {
        self.cut_off.contains(&one) != self.cut_off.contains(&other)
    }

    fn loses(&mut self, one: u32, other: u32) -> bool {
        let is_lossy = self.lossy.contains(&one) || self.lossy.contains(&other);
        is_lossy && self.rng.next_u64().is_multiple_of(5)
    }

    fn collect(&mut self, host: u32) {
        let gateway = self.gateways.get_mut(&host).unwrap();
        let (reports, _) = (gateway.take_reports(), gateway.take_events());
        let (wakeups, messages) = (gateway.take_wakeups(), gateway.take_rate_messages());
        for outgoing in reports {
            for HostId(to) in outgoing.to {
                if place_of(to) == place_of(host) && !self.is_cut(host, to) {
                    self.reports.push((to, host, outgoing.report.clone()));
                }
            }
        }
        for id in wakeups {
            self.push(host, self.now, What::Step(id));
        }
        for (HostId(to), message) in messages {
            let delay = delay(host, to);
            self.messages_between_regions += usize::from(delay > 2);
            if !self.gateways.contains_key(&to) || self.is_cut(host, to) || self.loses(host, to) {
                continue;
            }
            self.push(to, self.now + delay, What::Message(HostId(host), message));
        }
    }

    /// Lets callers send for a time; `loads` are requests a second of each organisation.
    fn run(&mut self, millis: u64, loads: &[f64], choose: ChooseGateway<'_>) {
        for _ in 0..millis {
            for (organisation, load) in loads.iter().enumerate() {
                let mut left = *load / 1_000.0;
                while left > 0.0 {
                    let drawn = (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
                    // Ten draws a millisecond come close to Poisson arrivals.
                    let part = left.min(0.1);
                    left -= part;
                    if drawn < part {
                        let host = choose(self.now, self.rng.next_u64());
                        self.ask(host, organisation);
                    }
                }
            }
            if self.now.is_multiple_of(500) {
                self.answer_polls();
            }
            for (to, from, report) in std::mem::take(&mut self.reports) {
                if let Some(gateway) = self.gateways.get_mut(&to) {
                    gateway.on_report(at(self.now), HostId(from), &report);
                }
            }
            self.deliver();
            self.now += 1;
        }
    }

    /// Returns the largest number of requests of an organisation that were sent in a window, and how
    /// many are allowed at this limit.
    fn worst_window(&self, organisation: usize) -> (usize, f64) {
        let times: Vec<u64> =
            self.sent.iter().filter(|it| it.organisation == organisation).map(|it| it.at).collect();
        let mut first = 0;
        let mut most = 0;
        for (index, time) in times.iter().enumerate() {
            while times[first] + 5_000 <= *time {
                first += 1;
            }
            most = most.max(index - first + 1);
        }
        let rate = self.rates[organisation] as f64;
        (most, (rate * 5.0 + rate * 1.25) * 1.1 + 20.0)
    }

    fn assert_bound(&self, organisation: usize) {
        let (most, allowed) = self.worst_window(organisation);
        assert!(most as f64 <= allowed, "{most} in 5 s, allowed {allowed}");
    }

    fn count(requests: &[Sent], organisation: usize, from: u64) -> f64 {
        let of = requests.iter().filter(|it| it.organisation == organisation && it.at >= from);
        of.count() as f64
    }

    /// Returns the part of its limit that an organisation has used since `from`.
    fn used(&self, organisation: usize, from: u64) -> f64 {
        let time = (self.now - from) as f64 / 1_000.0;
        Self::count(&self.sent, organisation, from) / (self.rates[organisation] as f64 * time)
    }

    /// Returns the part of an organisation's requests that were admitted since `from`.
    fn admitted(&self, organisation: usize, from: u64) -> f64 {
        let refused = Self::count(&self.refused, organisation, from);
        1.0 - refused / Self::count(&self.asked, organisation, from).max(1.0)
    }
}

fn record(host: u32) -> EntryHostRecord {
    EntryHostRecord { state: EntryHostState::Serving, ..entry_host(host, place_of(host)) }
}

fn any(_: u64, random: u64) -> u32 {
    (random % u64::from(GATEWAYS)) as u32 + 1
}

fn all() -> Vec<u32> {
    (1..=GATEWAYS).collect()
}

/// Limits of 20 organisations: a few large, most small.
fn skewed() -> Vec<u64> {
    (0..20).map(|it| [120, 60, 30, 12, 6][it % 5]).collect()
}

fn usual(rates: &[u64]) -> Vec<f64> {
    rates.iter().map(|it| *it as f64 / 1.6).collect()
}

fn hot(rates: &[u64], organisation: usize) -> Vec<f64> {
    let mut loads = usual(rates);
    loads[organisation] *= 7.5;
    loads
}

#[test]
fn usual_load_on_all_gateways_is_admitted() {
    let rates = skewed();
    let mut fleet = Fleet::new(&rates);

    fleet.run(20_000, &usual(&rates), &any);

    let refused = fleet.refused.len() as f64 / fleet.asked.len() as f64;
    assert!(refused <= 0.02, "refused {refused}");
}

#[test]
fn usual_load_is_admitted_at_gateways_that_lose_messages() {
    let rates = skewed();
    let mut fleet = Fleet::new(&rates);
    fleet.lossy = (1..=24).collect();

    fleet.run(20_000, &usual(&rates), &any);

    // A quarter of the requests come to these gateways, of which one in a hundred may be refused.
    let refused = fleet.refused.len() as f64 / fleet.asked.len() as f64;
    assert!(refused <= 0.01 / 4.0, "refused {refused}");
}

#[test]
fn a_hot_organisation_uses_its_limit_and_no_more_wherever_its_load_sits() {
    let one = |_: u64, _: u64| 3;
    let moving = |now: u64, random: u64| {
        let place = (now / 3_000) as u32 % 6;
        6 * (random % 16) as u32 + if place == 0 { 6 } else { place }
    };
    let chooses: [(&str, ChooseGateway<'_>); 3] =
        [("on all", &any), ("on one", &one), ("moving", &moving)];
    for (name, choose) in chooses {
        for rate in [120, 60, 6] {
            let mut fleet = Fleet::new(&[rate]);

            fleet.run(20_000, &[rate as f64 * 7.5 / 1.6], choose);

            let used = fleet.used(0, START);
            assert!(used >= 0.9, "{name}, {rate}: used {used}");
            fleet.assert_bound(0);
        }
    }
}

#[test]
fn the_others_are_not_hurt_by_a_hot_organisation() {
    let rates = skewed();
    let mut fleet = Fleet::new(&rates);

    fleet.run(10_000, &hot(&rates, 1), &any);

    fleet.assert_bound(1);
    for organisation in (0..rates.len()).filter(|it| *it != 1) {
        let admitted = fleet.admitted(organisation, START);
        assert!(admitted >= 0.97, "{organisation}: admitted {admitted}");
    }
}

/// Returns the gateways of the first organisation's load and what happens after 5 s of it.
fn disturbed(load: f64, rate: u64, disturb: impl FnOnce(&mut Fleet)) -> Fleet {
    let mut fleet = Fleet::new(&[rate]);
    fleet.run(6_000, &[load], &any);
    disturb(&mut fleet);
    fleet.run(8_000, &[load], &any);
    fleet
}

#[test]
fn killed_keepers_are_passed_by() {
    for load in [60.0 / 1.6, 280.0] {
        let mut fleet = Fleet::new(&[60]);
        fleet.run(6_000, &[load], &any);
        let gone: Vec<u32> =
            all().into_iter().filter(|it| fleet.gateways[it].kept_rates() > 0).collect();
        let left: Vec<u32> = all().into_iter().filter(|it| !gone.contains(it)).collect();
        let choose = |_: u64, random: u64| left[random as usize % left.len()];

        // The keepers of three data centres.
        let (dead, _) = gone.split_at(3);
        dead.iter().for_each(|it| fleet.kill(*it));
        let from = fleet.now;
        fleet.run(LIST_DELAY, &[load], &choose);
        let listed: Vec<u32> = all().into_iter().filter(|it| !dead.contains(it)).collect();
        fleet.list(&listed, &listed);
        fleet.run(5_000, &[load], &choose);

        fleet.assert_bound(0);
        let admitted = fleet.admitted(0, from);
        if load < 60.0 {
            assert!(admitted >= 0.9, "admitted {admitted}");
        } else {
            assert!(fleet.used(0, from) >= 0.75);
        }
    }
}

#[test]
fn a_frozen_keeper_is_passed_by_and_grants_nothing_late() {
    for load in [60.0 / 1.6, 280.0] {
        let mut fleet = Fleet::new(&[60]);
        fleet.run(6_000, &[load], &any);
        let keepers: Vec<u32> =
            all().into_iter().filter(|it| fleet.gateways[it].kept_rates() > 0).collect();
        let choose = |_: u64, random: u64| {
            let host = any(0, random);
            if keepers.contains(&host) { host % 6 + 1 } else { host }
        };
        fleet.frozen.extend(keepers[..2].iter().copied());
        let from = fleet.now;
        fleet.run(3_000, &[load], &choose);
        fleet.frozen.clear();
        fleet.run(5_000, &[load], &choose);

        fleet.assert_bound(0);
        let admitted = fleet.admitted(0, from);
        assert!(load > 60.0 || admitted >= 0.9, "admitted {admitted}");
    }
}

#[test]
fn killed_gateways_that_come_back_keep_the_bound() {
    for (every, load) in [(5, 37.0), (5, 280.0), (1, 37.0), (1, 280.0)] {
        // 60% of the gateways, or all of them, are killed, and come back after 2 s.
        let dead: Vec<u32> = all().into_iter().filter(|it| every == 1 || it % 5 < 3).collect();
        let left: Vec<u32> = all().into_iter().filter(|it| !dead.contains(it)).collect();
        let fleet = disturbed(load, 60, |fleet| {
            dead.iter().for_each(|it| fleet.kill(*it));
            let choose = |now: u64, random: u64| match left.len() {
                0 => any(now, random),
                len => left[random as usize % len],
            };
            fleet.run(LIST_DELAY, &[load], &choose);
            fleet.list(&left, &left);
            fleet.run(2_000 - LIST_DELAY, &[load], &choose);
            dead.iter().for_each(|it| fleet.start(*it, &all()));
            fleet.run(500, &[load], &any);
            fleet.list(&left, &all());
        });

        fleet.assert_bound(0);
        let admitted = fleet.admitted(0, fleet.now - 5_000);
        assert!(load > 60.0 || admitted >= 0.97, "admitted {admitted}");
    }
}

#[test]
fn a_lower_limit_binds_during_a_burst() {
    let mut fleet = Fleet::new(&[120]);
    fleet.run(6_000, &[560.0], &any);
    fleet.set_rates(&[30]);
    let changed = fleet.now;

    fleet.run(10_000, &[560.0], &any);

    fleet.sent.retain(|it| it.at >= changed + 500);
    fleet.assert_bound(0);
    assert!(fleet.used(0, changed + 500) >= 0.9);
}

/// Cuts these gateways off from the others, which learn of it; the load stays where it was.
fn cut(load: f64, other: &[u32]) -> Fleet {
    let left: Vec<u32> = all().into_iter().filter(|it| !other.contains(it)).collect();
    disturbed(load, 60, |fleet| {
        fleet.cut_off.extend(other.iter().copied());
        fleet.run(LIST_DELAY, &[load], &any);
        fleet.list(&left, &left);
        fleet.run(6_000, &[load], &any);
        fleet.cut_off.clear();
        fleet.run(LIST_DELAY, &[load], &any);
        fleet.list(&left, &all());
    })
}

#[test]
fn a_fleet_cut_in_two_keeps_the_bound() {
    let by_place = all().into_iter().filter(|it| it % 6 >= 4).collect();
    let across: Vec<u32> = all().into_iter().filter(|it| it / 6 % 3 == 0).collect();
    let one = vec![7];
    // Gateways that reach no keeper admit only a part of what is asked of them.
    for (other, owed) in [(by_place, 0.9), (across, 0.85), (one, 0.95)] {
        for load in [37.0, 280.0] {
            let fleet = cut(load, &other);

            let admitted = fleet.admitted(0, START + 6_000);
            fleet.assert_bound(0);
            assert!(load > 60.0 || admitted >= owed, "admitted {admitted}");
        }
    }
}
