//! Organisations of the callers of a soak, one with a key that is withdrawn and given back.

use std::{
    collections::BTreeMap,
    ops::Range,
    time::{Duration, Instant},
};

use gateway_core::GatewayConfig;

use super::{Configs, EXCUSED_TIME, FIRST_VERSION, faults::Fault, host_of};
use crate::gateway::{Fleet, KEY, Server, callers::Sent, config, wait_for, with_keys};

const NAMES: [&str; 2] = ["acme", "birch"];

/// Time after the acknowledgement of a withdrawal from which no server gets requests with the key.
const WITHDRAWN_WITHIN: Duration = Duration::from_secs(5);

/// Returns the key of a caller, whose number decides on its organisation.
pub fn key(caller: u16) -> String {
    format!("{KEY}-{}", NAMES[usize::from(caller) % NAMES.len()])
}

/// Returns the key of the first organisation that some configurations withdraw.
pub fn withdrawn_key() -> String {
    format!("{KEY}-{}-withdrawn", NAMES[0])
}

fn is_withdrawn(version: u64) -> bool {
    version % 2 == 1
}

/// Returns a configuration in which callers need keys.
pub fn config_with_keys(version: u64) -> GatewayConfig {
    let mut keys = vec![key(0)];
    if !is_withdrawn(version) {
        keys.push(withdrawn_key());
    }
    let config = with_keys(config(version, "queue"), NAMES[0], &keys);
    with_keys(config, NAMES[1], &[key(1)])
}

/// Waits until gateways require keys.
pub fn require_keys(fleet: &Fleet, gateways: Range<u8>) {
    fleet.put(&config_with_keys(FIRST_VERSION));
    let is_required =
        |gateway| fleet.request(gateway, "no-key", "/look/1").is_some_and(|it| it.status == 401);
    wait_for("gateways that require keys", || gateways.clone().all(is_required).then_some(()));
}

/// No server sees a key, a wrong organisation, or requests with a key that was withdrawn earlier.
pub fn check(
    servers: &[Server],
    sent: &[Sent],
    configs: &Configs,
    faults: &[Fault],
    begin: Instant,
    findings: &mut Vec<String>,
) {
    let withdrawn = withdrawn_times(configs);
    let is_late = |at: Instant| withdrawn.iter().any(|it| it.contains(&at));
    let sent_by_id: BTreeMap<&str, &Sent> =
        sent.iter().map(|it| (it.ask.id.as_str(), it)).collect();
    for server in servers {
        for (id, caller) in server.callers.lock().unwrap().iter() {
            let key = sent_by_id.get(id.as_str()).and_then(|it| it.ask.key.as_deref());
            let name = NAMES.iter().find(|name| {
                key.is_some_and(|it| it.trim_start_matches(KEY)[1..].starts_with(**name))
            });
            if caller.shows_key
                || (key.is_some() && caller.organisation.as_deref() != name.copied())
            {
                findings.push(format!("{id} reached a server with {caller:?}"));
            }
        }
        let sources = server.sources.lock().unwrap();
        for (id, at) in server.arrivals().into_iter().filter(|it| is_late(it.1)) {
            let request = sent_by_id.get(id.as_str());
            if request.is_none_or(|it| it.ask.key != Some(withdrawn_key())) {
                continue;
            }
            let host = sources.get(&id).map_or(0, |it| host_of(*it));
            let is_excused = faults.iter().any(|it| {
                let time = begin + it.at..begin + it.until() + EXCUSED_TIME;
                it.disturbs(host) && time.contains(&at)
            });
            if !is_excused {
                findings.push(format!("{id} reached a server with a withdrawn key"));
            }
        }
    }
}

/// Returns when the key was withdrawn for longer than the bound and not being given back.
fn withdrawn_times(configs: &Configs) -> Vec<Range<Instant>> {
    let withdrawals = configs.times.iter().filter(|it| is_withdrawn(it.0));
    let time = |(version, _, acknowledged): &(u64, Instant, Option<Instant>)| {
        let given_back = configs.times.iter().find(|it| it.0 > *version && !is_withdrawn(it.0));
        let end = given_back.map_or_else(Instant::now, |it| it.1);
        acknowledged.map(|it| it + WITHDRAWN_WITHIN..end)
    };
    withdrawals.filter_map(time).collect()
}
