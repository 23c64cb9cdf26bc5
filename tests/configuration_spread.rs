//! Tests that an accepted configuration reaches all entry hosts and is never reverted there.

mod support;

use std::net::SocketAddr;

use fault_proxy::Fault;
use ids::{ConfigVersion, Epoch, HostId, Incarnation};
use schema::{
    dissemination::DisseminationMessage,
    peer::{PeerFrame, PeerMessage},
};
use support::{Fleet, VersionMonitor, accepted, config_text, get, wait_for};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpStream, UdpSocket},
};
use transport::FleetKeys;

/// Submits a configuration and checks that it is accepted.
async fn submit_version(fleet: &Fleet, version: u64) {
    let text = config_text(version, 1);
    accepted(fleet.submit(&text).await, &text);
}

/// Waits until the entry hosts from index `first` on have a version in force.
async fn wait_for_version_from(fleet: &Fleet, first: usize, version: u64) {
    for index in first..fleet.entries.len() {
        fleet.wait_for_entry(index, |it| it.version == ConfigVersion(version)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_host_cut_off_from_control_hosts_gets_versions_from_others() {
    let fleet = Fleet::start(3, 4, 1).await;
    let monitor = VersionMonitor::start(&fleet);
    for control in &fleet.control {
        fleet.links.set(control.id, fleet.entries[0].id, Fault::Blackhole);
        fleet.links.set(fleet.entries[0].id, control.id, Fault::Blackhole);
    }

    for version in 2..=5 {
        submit_version(&fleet, version).await;
        fleet.wait_for_version(ConfigVersion(version)).await;
    }

    monitor.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_entry_host_keeps_its_version_and_catches_up_when_reconnected() {
    let mut fleet = Fleet::start(3, 4, 1).await;
    fleet.add_servers(1).await;
    let monitor = VersionMonitor::start(&fleet);

    fleet.isolate(fleet.entries[0].id, Fault::Blackhole);
    for version in 2..=4 {
        submit_version(&fleet, version).await;
    }
    wait_for_version_from(&fleet, 1, 4).await;
    let isolated = fleet.entry_status(0).await.unwrap();
    let served = get(fleet.entries[0].caller_address, "/queue/1", &[]).await.unwrap();
    fleet.links.set_all(Fault::None);

    assert_eq!(isolated.version, ConfigVersion(1));
    assert_eq!(served.header("daisypaddle-outcome"), "ran", "{}", served.text());
    fleet.wait_for_version(ConfigVersion(4)).await;
    monitor.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn versions_spread_over_lossy_links_and_one_way_cuts() {
    let fleet = Fleet::start(3, 4, 1).await;
    let monitor = VersionMonitor::start(&fleet);
    fleet.links.set_all(Fault::Loss(20));
    fleet.links.set_incoming(fleet.control[0].id, Fault::Blackhole);
    fleet.links.set(fleet.entries[0].id, fleet.entries[1].id, Fault::Blackhole);
    fleet.links.set(fleet.entries[2].id, fleet.entries[3].id, Fault::Blackhole);

    for version in 2..=6 {
        submit_version(&fleet, version).await;
        fleet.wait_for_version(ConfigVersion(version)).await;
    }

    monitor.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_hosts_serve_and_restart_without_control_hosts() {
    let mut fleet = Fleet::start(3, 4, 1).await;
    fleet.add_servers(2).await;
    submit_version(&fleet, 2).await;
    fleet.wait_for_version(ConfigVersion(2)).await;
    let monitor = VersionMonitor::start(&fleet);

    fleet.control.iter_mut().for_each(|it| it.process.kill());
    fleet.entries[1].process.kill();
    fleet.start_entry(1);
    fleet.wait_for_version(ConfigVersion(2)).await;
    fleet.wait_for_entry(1, |it| it.servers.len() == 4).await;

    for host in &fleet.entries {
        for number in 0..20 {
            let path = format!("/queue/{number}");
            let response = get(host.caller_address, &path, &[]).await.unwrap();
            assert_eq!(response.header("daisypaddle-outcome"), "ran", "{}", response.text());
        }
    }
    (0..3).for_each(|it| fleet.start_control(it, false));
    submit_version(&fleet, 3).await;
    fleet.wait_for_version(ConfigVersion(3)).await;
    monitor.finish().await;
}

/// Reads a metric of a host.
async fn metric(admin_address: SocketAddr, name: &str) -> u64 {
    let page = get(admin_address, "/metrics", &[]).await.unwrap().text();
    let value = page.lines().find_map(|it| it.strip_prefix(&format!("daisypaddle_{name} ")));
    value.unwrap_or_else(|| panic!("no metric {name}")).parse().unwrap()
}

/// Forged messages of each kind that are sent to each host, by datagram and by connection.
const FORGED_PER_KIND: u64 = 25;

/// Sends a message as a datagram and over a new connection: the receiver closes a connection at the
/// first invalid message.
async fn send_forged(address: SocketAddr, message: &[u8]) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    socket.send_to(message, address).await.unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    let mut framed = (message.len() as u32).to_le_bytes().to_vec();
    framed.extend_from_slice(message);
    stream.write_all(&framed).await.unwrap();
}

/// Returns a well-formed message that is sealed with a key other than the fleet's.
fn sealed_with_wrong_key(to: HostId) -> Vec<u8> {
    let keys = FleetKeys::parse(&"ab".repeat(32)).unwrap();
    let message = PeerMessage::Dissemination(DisseminationMessage::ClaimMapRequest(Epoch(7)));
    let frame = PeerFrame { from: HostId(1), incarnation: Incarnation(u64::MAX), to, message };
    transport::seal(&keys, &frame)
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_messages_are_counted_and_dropped() {
    let fleet = Fleet::start(3, 4, 1).await;
    let monitor = VersionMonitor::start(&fleet);
    let hosts: Vec<_> = fleet.control.iter().chain(&fleet.entries).collect();

    for host in &hosts {
        let sealed = sealed_with_wrong_key(host.id);
        for number in 0..FORGED_PER_KIND {
            send_forged(host.peer_address, &sealed).await;
            send_forged(host.peer_address, &[number as u8; 100]).await;
            send_forged(host.peer_address, &[number as u8; 3]).await;
        }
        let mut stream = TcpStream::connect(host.peer_address).await.unwrap();
        stream.write_all(&[0xff; 64]).await.unwrap();
    }

    for host in &hosts {
        wait_for("the counts of forged messages", async || {
            let bad_mac = metric(host.admin_address, "peer_bad_mac_total").await;
            let malformed = metric(host.admin_address, "peer_malformed_total").await;
            // Datagrams may be dropped on a busy machine, data on connections is not.
            (bad_mac >= FORGED_PER_KIND * 2 && malformed > FORGED_PER_KIND).then_some(())
        })
        .await;
    }
    submit_version(&fleet, 2).await;
    fleet.wait_for_version(ConfigVersion(2)).await;
    monitor.finish().await;
}
