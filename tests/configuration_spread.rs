//! An accepted configuration comes to all entry hosts and never goes back there.

mod support;

use std::net::SocketAddr;

use fault_proxy::Fault;
use ids::{ConfigVersion, Epoch, HostId, Incarnation};
use schema::{
    dissemination::DisseminationMessage,
    peer::{PeerFrame, PeerMessage},
};
use support::{Fleet, VersionWatch, accepted, get, text, wait_for};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpStream, UdpSocket},
};
use transport::FleetKeys;

/// Submits a text that must be accepted.
async fn accept(fleet: &Fleet, version: u64) {
    let text = text(version, 1);
    accepted(fleet.submit(&text).await, &text);
}

/// Waits until the entry hosts from `first` on have a version in force.
async fn wait_from(fleet: &Fleet, first: usize, version: u64) {
    for index in first..fleet.entries.len() {
        fleet.wait_for_entry(index, |it| it.version == ConfigVersion(version)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_host_cut_off_from_control_follows_through_others() {
    let fleet = Fleet::start(3, 4, 1).await;
    let versions = VersionWatch::start(&fleet);
    for control in &fleet.control {
        fleet.links.set(control.id, fleet.entries[0].id, Fault::Blackhole);
        fleet.links.set(fleet.entries[0].id, control.id, Fault::Blackhole);
    }

    for version in 2..=5 {
        accept(&fleet, version).await;
        fleet.wait_in_force(ConfigVersion(version)).await;
    }

    versions.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_entry_host_keeps_its_version_and_follows_when_healed() {
    let mut fleet = Fleet::start(3, 4, 1).await;
    fleet.add_servers(1).await;
    let versions = VersionWatch::start(&fleet);

    fleet.isolate(fleet.entries[0].id, Fault::Blackhole);
    for version in 2..=4 {
        accept(&fleet, version).await;
    }
    wait_from(&fleet, 1, 4).await;
    let isolated = fleet.entry_status(0).await.unwrap();
    let served = get(fleet.entries[0].caller_address, "/queue/1", &[]).await.unwrap();
    fleet.links.set_all(Fault::None);

    assert_eq!(isolated.version, ConfigVersion(1));
    assert_eq!(served.header("daisypaddle-outcome"), "ran", "{}", served.text());
    fleet.wait_in_force(ConfigVersion(4)).await;
    versions.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn versions_come_through_lossy_links_and_one_way_cuts() {
    let fleet = Fleet::start(3, 4, 1).await;
    let versions = VersionWatch::start(&fleet);
    fleet.links.set_all(Fault::Loss(20));
    fleet.links.set_received(fleet.control[0].id, Fault::Blackhole);
    fleet.links.set(fleet.entries[0].id, fleet.entries[1].id, Fault::Blackhole);
    fleet.links.set(fleet.entries[2].id, fleet.entries[3].id, Fault::Blackhole);

    for version in 2..=6 {
        accept(&fleet, version).await;
        fleet.wait_in_force(ConfigVersion(version)).await;
    }

    versions.finish().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_hosts_serve_and_restart_without_control() {
    let mut fleet = Fleet::start(3, 4, 1).await;
    fleet.add_servers(2).await;
    accept(&fleet, 2).await;
    fleet.wait_in_force(ConfigVersion(2)).await;
    let versions = VersionWatch::start(&fleet);

    fleet.control.iter_mut().for_each(|it| it.process.kill());
    fleet.entries[1].process.kill();
    fleet.start_entry(1);
    fleet.wait_in_force(ConfigVersion(2)).await;
    fleet.wait_for_entry(1, |it| it.servers.len() == 4).await;

    for host in &fleet.entries {
        for number in 0..20 {
            let path = format!("/queue/{number}");
            let answer = get(host.caller_address, &path, &[]).await.unwrap();
            assert_eq!(answer.header("daisypaddle-outcome"), "ran", "{}", answer.text());
        }
    }
    (0..3).for_each(|it| fleet.start_control(it, false));
    accept(&fleet, 3).await;
    fleet.wait_in_force(ConfigVersion(3)).await;
    versions.finish().await;
}

/// The value of a metric of a host.
async fn metric(admin_address: SocketAddr, name: &str) -> u64 {
    let page = get(admin_address, "/metrics", &[]).await.unwrap().text();
    let line = page.lines().find_map(|it| it.strip_prefix(&format!("daisypaddle_{name} ")));
    line.unwrap_or_else(|| panic!("no metric {name}")).parse().unwrap()
}

/// Messages of each kind sent to each host.
const FORGED: u64 = 25;

/// Sends a message by both protocols; the connection ends with the first refused one.
async fn send_forged(address: SocketAddr, data: &[u8]) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    socket.send_to(data, address).await.unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    let mut framed = (data.len() as u32).to_le_bytes().to_vec();
    framed.extend_from_slice(data);
    stream.write_all(&framed).await.unwrap();
}

/// A message that would be genuine with the fleet's key.
fn sealed_with_another_key(to: HostId) -> Vec<u8> {
    let keys = FleetKeys::parse(&"ab".repeat(32)).unwrap();
    let message = PeerMessage::Dissemination(DisseminationMessage::ClaimMapRequest(Epoch(7)));
    let frame = PeerFrame { from: HostId(1), incarnation: Incarnation(u64::MAX), to, message };
    transport::seal(&keys, &frame)
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_messages_are_counted_and_dropped() {
    let fleet = Fleet::start(3, 4, 1).await;
    let versions = VersionWatch::start(&fleet);
    let hosts: Vec<_> = fleet.control.iter().chain(&fleet.entries).collect();

    for host in &hosts {
        let sealed = sealed_with_another_key(host.id);
        for number in 0..FORGED {
            send_forged(host.peer_address, &sealed).await;
            send_forged(host.peer_address, &[number as u8; 100]).await;
            send_forged(host.peer_address, &[number as u8; 3]).await;
        }
        let mut stream = TcpStream::connect(host.peer_address).await.unwrap();
        stream.write_all(&[0xff; 64]).await.unwrap();
    }

    for host in &hosts {
        wait_for("the count of forged messages", async || {
            let bad_mac = metric(host.admin_address, "peer_bad_mac_total").await;
            let malformed = metric(host.admin_address, "peer_malformed_total").await;
            // Datagrams may be lost on a busy machine; connections are not.
            (bad_mac >= FORGED * 2 && malformed > FORGED).then_some(())
        })
        .await;
    }
    accept(&fleet, 2).await;
    fleet.wait_in_force(ConfigVersion(2)).await;
    versions.finish().await;
}
