//! Messages are delivered intact and authenticated, or not at all.

use std::time::Duration;

use ids::{Blob, ConfigVersion, Epoch, HostId, Incarnation, LogIndex};
use schema::{
    dissemination::DisseminationMessage,
    peer::{PeerFrame, PeerMessage},
    registry::ConfigDocument,
    sync::{HostsUpdate, RegistryChanges, RegistryUpdate, SyncMessage, Update},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::mpsc,
    time::timeout,
};
use transport::{
    FleetKeys, KeyError, OpenError, Purpose, Transport, TransportSettings, open, seal,
};

/// Returns keys made of two hexadecimal digits each, repeated.
fn keys(digits: &[&str]) -> FleetKeys {
    let lines: Vec<_> = digits.iter().map(|it| it.repeat(32)).collect();
    FleetKeys::parse(&lines.join("\n")).unwrap()
}

async fn bind_host(id: u32, keys: FleetKeys) -> (Transport, mpsc::Receiver<PeerFrame>) {
    let settings = TransportSettings {
        host: HostId(id),
        incarnation: Incarnation(1),
        address: "127.0.0.1:0".parse().unwrap(),
        keys,
    };
    Transport::bind(settings).await.unwrap()
}

/// Returns a message that is sent over TCP.
fn stream_message() -> PeerMessage {
    PeerMessage::Dissemination(DisseminationMessage::ClaimMapRequest(Epoch(7)))
}

/// Returns a message with a configuration of `size` bytes.
fn large_message(size: usize) -> PeerMessage {
    let packed_text = Blob::from(vec![7; size]);
    let config = ConfigDocument { version: ConfigVersion(1), packed_text };
    let changes = RegistryChanges {
        up_to: LogIndex(1),
        whole: true,
        config: vec![config],
        servers: Vec::new(),
    };
    PeerMessage::Sync(SyncMessage::Update(Update {
        sequence: 1,
        current: true,
        control_hosts: Vec::new(),
        registry: RegistryUpdate::Changed(changes),
        hosts: HostsUpdate::Unchanged,
    }))
}

#[test]
fn an_invalid_key_file_is_rejected() {
    let valid = "# first\n".to_owned() + &"ab".repeat(32);

    assert!(FleetKeys::parse(&valid).is_ok());
    assert_eq!(FleetKeys::parse("").unwrap_err(), KeyError::BadCount);
    assert_eq!(FleetKeys::parse("\nxyz").unwrap_err(), KeyError::BadKey(2));
}

#[test]
fn the_mac_of_any_fleet_key_is_accepted_and_no_other() {
    let frame = PeerFrame {
        from: HostId(1),
        to: HostId(2),
        incarnation: Incarnation(1),
        message: stream_message(),
    };

    let sealed = seal(&keys(&["ab"]), &frame);

    assert_eq!(open(&keys(&["cd", "ab"]), &sealed), Ok(frame));
    assert_eq!(open(&keys(&["cd"]), &sealed), Err(OpenError::BadMac));
    assert_eq!(open(&keys(&["ab"]), &sealed[..9]), Err(OpenError::TooShort));
}

#[test]
fn random_bytes_are_rejected() {
    let keys = keys(&["ab"]);
    for case in 0..300u64 {
        arbtest::arbtest(|u| {
            let data = u.bytes(u.len())?;
            assert!(open(&keys, data).is_err());
            Ok(())
        })
        .seed(((case + 1) << 32) | 128)
        .run();
    }
}

#[tokio::test]
async fn messages_arrive_in_order_over_one_connection() {
    let (sender, _rx) = bind_host(1, keys(&["ab"])).await;
    let (receiver, mut rx) = bind_host(2, keys(&["ab"])).await;

    for _ in 0..3 {
        sender.send(HostId(2), receiver.local_address(), stream_message());
    }

    for _ in 0..3 {
        let frame = rx.recv().await.unwrap();
        assert_eq!(frame.from, HostId(1));
        assert_eq!(frame.message, stream_message());
    }
}

#[tokio::test]
async fn bytes_are_counted_by_what_they_are_for() {
    let (sender, _rx) = bind_host(1, keys(&["ab"])).await;
    let (receiver, _rx) = bind_host(2, keys(&["ab"])).await;

    sender.send(HostId(2), receiver.local_address(), large_message(1_000));
    sender.send(HostId(2), receiver.local_address(), stream_message());

    let bytes = sender.stats().queued_bytes;
    assert!(bytes[Purpose::Registry as usize] > 1_000);
    assert!((1..1_000).contains(&bytes[Purpose::Other as usize]));
    let of_both = bytes[Purpose::Registry as usize] + bytes[Purpose::Other as usize];
    assert_eq!(bytes.iter().sum::<u64>(), of_both);
}

#[tokio::test]
async fn invalid_messages_are_counted_and_dropped() {
    let (sender, _rx) = bind_host(1, keys(&["ab"])).await;
    let (wrong_key_sender, _rx) = bind_host(3, keys(&["cd"])).await;
    let (receiver, mut rx) = bind_host(2, keys(&["ab"])).await;
    let address = receiver.local_address();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();

    socket.send_to(&[7; 40], address).await.unwrap();
    socket.send_to(&[7; 3], address).await.unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(&u32::MAX.to_le_bytes()).await.unwrap();
    wrong_key_sender.send(HostId(2), address, stream_message());
    while receiver.stats().bad_mac < 2 || receiver.stats().malformed < 2 {
        tokio::task::yield_now().await;
    }
    sender.send(HostId(2), address, stream_message());

    let frame = rx.recv().await.unwrap();
    assert_eq!(frame.from, HostId(1));
    assert_eq!(receiver.stats().received, 1);
}

/// Returns a message of a kind that only a newer build knows, for host 2.
fn sealed_unknown_message() -> Vec<u8> {
    let frame = PeerFrame {
        from: HostId(1),
        to: HostId(2),
        incarnation: Incarnation(1),
        message: stream_message(),
    };
    let mut body = schema::encode(&frame);
    // The number of the kind follows three ids of a byte each.
    body[3] = 120;
    let mac = blake3::keyed_hash(&[0xab; 32], &body);
    [&mac.as_bytes()[..16], &body].concat()
}

#[tokio::test]
async fn a_message_of_an_unknown_kind_costs_neither_the_connection_nor_what_follows_it() {
    let keys = keys(&["ab"]);
    let (receiver, mut rx) = bind_host(2, keys.clone()).await;
    let known = PeerFrame {
        from: HostId(1),
        to: HostId(2),
        incarnation: Incarnation(1),
        message: stream_message(),
    };
    let unknown = sealed_unknown_message();
    assert!(matches!(open(&keys, &unknown), Err(OpenError::Decode(_))));
    let mut stream = TcpStream::connect(receiver.local_address()).await.unwrap();

    for data in [&unknown, &seal(&keys, &known), &unknown, &seal(&keys, &known)] {
        stream.write_all(&(data.len() as u32).to_le_bytes()).await.unwrap();
        stream.write_all(data).await.unwrap();
    }

    for _ in 0..2 {
        let frame = timeout(Duration::from_secs(10), rx.recv()).await.expect("it was lost");
        assert_eq!(frame, Some(known.clone()));
    }
    assert_eq!(receiver.stats().malformed, 2);
}

#[tokio::test]
async fn a_message_for_another_host_is_not_delivered() {
    let (sender, _rx) = bind_host(1, keys(&["ab"])).await;
    let (receiver, mut rx) = bind_host(2, keys(&["ab"])).await;

    sender.send(HostId(9), receiver.local_address(), stream_message());
    sender.send(HostId(2), receiver.local_address(), stream_message());

    rx.recv().await.unwrap();
    assert_eq!(receiver.stats().misdirected, 1);
    assert_eq!(receiver.stats().received, 1);
}

#[tokio::test]
async fn the_sender_reconnects_to_a_restarted_peer() {
    let (sender, _rx) = bind_host(1, keys(&["ab"])).await;
    let (receiver, mut rx) = bind_host(2, keys(&["ab"])).await;
    let address = receiver.local_address();
    sender.send(HostId(2), address, stream_message());
    rx.recv().await.unwrap();
    drop((receiver, rx));

    let settings = TransportSettings {
        host: HostId(2),
        incarnation: Incarnation(2),
        address,
        keys: keys(&["ab"]),
    };
    let (_receiver, mut rx) = loop {
        match Transport::bind(settings.clone()).await {
            Ok(host) => break host,
            Err(_) => tokio::task::yield_now().await,
        }
    };

    let frame = loop {
        sender.send(HostId(2), address, stream_message());
        tokio::task::yield_now().await;
        if let Ok(frame) = rx.try_recv() {
            break frame;
        }
    };
    assert_eq!(frame.from, HostId(1));
}

#[tokio::test]
async fn a_message_after_a_connection_reset_is_sent_over_a_new_connection() {
    let (sender, _rx) = bind_host(1, keys(&["ab"])).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    sender.send(HostId(2), address, stream_message());
    let (mut stream, _) = listener.accept().await.unwrap();
    stream.read_u32_le().await.unwrap();
    // Closing a socket with unread data resets the connection.
    drop(stream);

    sender.send(HostId(2), address, stream_message());

    let reconnected = timeout(Duration::from_secs(20), listener.accept()).await;
    let (mut stream, _) = reconnected.expect("the sender did not reconnect").unwrap();
    assert!(stream.read_u32_le().await.unwrap() > 0);
}

#[tokio::test]
async fn an_idle_connection_is_closed_so_that_the_next_message_opens_a_new_one() {
    let (sender, _rx) = bind_host(1, keys(&["ab"])).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    sender.send(HostId(2), address, stream_message());
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut received = Vec::new();
    // The sender must close the idle connection, since a crashed peer closes none.
    let closed = timeout(Duration::from_secs(20), stream.read_to_end(&mut received)).await;
    closed.expect("the idle connection was not closed").unwrap();

    sender.send(HostId(2), address, stream_message());

    // The receiver's end stays open, as that of a crashed peer does.
    let _open = stream;
    let reconnected = timeout(Duration::from_secs(20), listener.accept()).await;
    let (mut stream, _) = reconnected.expect("the sender did not reconnect").unwrap();
    assert!(stream.read_u32_le().await.unwrap() > 0);
}

#[tokio::test]
async fn what_waits_for_peers_that_take_nothing_is_bounded_in_bytes() {
    let (sender, _rx) = bind_host(1, keys(&["ab"])).await;
    let size = 1024 * 1024;
    let mut listeners = Vec::new();
    for _ in 0..6 {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }

    // The test awaits nothing here, so the sending tasks do not run and the queues only grow.
    let first = listeners[0].local_addr().unwrap();
    (0..20).for_each(|_| sender.send(HostId(2), first, large_message(size)));
    let queued_for_one = 20 - sender.stats().dropped;
    for listener in &listeners[1..] {
        let address = listener.local_addr().unwrap();
        (0..20).for_each(|_| sender.send(HostId(2), address, large_message(size)));
    }
    let queued_for_all = 120 - sender.stats().dropped;

    assert!((1..=8).contains(&queued_for_one), "{queued_for_one} MiB queued for one peer");
    assert!((8..=32).contains(&queued_for_all), "{queued_for_all} MiB queued for six peers");
}

/// Returns a listener whose queue of new connections is full, and the connections that fill it: it
/// drops the opening packets of further ones, like a host without power.
async fn full_listener() -> (socket2::Socket, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    let address: std::net::SocketAddr = "127.0.0.1:0".parse().unwrap();
    socket.bind(&address.into()).unwrap();
    socket.listen(0).unwrap();
    let address = socket.local_addr().unwrap().as_socket().unwrap();
    let mut filling = Vec::new();
    while let Ok(connected) = timeout(Duration::from_millis(300), TcpStream::connect(address)).await
    {
        filling.push(connected.unwrap());
    }
    (socket, filling)
}

#[tokio::test]
async fn a_message_reaches_a_host_that_comes_back_before_tcp_resends_the_opening_packet() {
    let (sender, _messages) = bind_host(1, keys(&["ab"])).await;
    let (socket, filling) = full_listener().await;
    let address = socket.local_addr().unwrap().as_socket().unwrap();

    sender.send(HostId(2), address, stream_message());
    // The first opening packet is dropped by then.
    tokio::time::sleep(Duration::from_millis(100)).await;
    socket.set_nonblocking(true).unwrap();
    let listener = TcpListener::from_std(socket.into()).unwrap();
    let mut received = 0;
    let reads = async {
        // The connections that fill the queue come first and send nothing.
        for _ in 0..filling.len() {
            listener.accept().await.unwrap();
        }
        let (mut stream, _) = listener.accept().await.unwrap();
        received = stream.read_u32_le().await.unwrap();
    };

    timeout(Duration::from_secs(10), reads).await.expect("the message is not dropped");
    assert!(received > 0);
}

#[tokio::test]
async fn messages_that_were_flushed_arrive_though_the_process_ends() {
    const MESSAGES: usize = 4;
    let (receiver, mut rx) = bind_host(2, keys(&["ab"])).await;
    let address = receiver.local_address();

    // The end of a runtime ends its tasks, as the end of a process does.
    let process = tokio::task::spawn_blocking(move || {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        runtime.block_on(async {
            let (sender, _rx) = bind_host(1, keys(&["ab"])).await;
            (0..MESSAGES).for_each(|_| sender.send(HostId(2), address, large_message(1_000_000)));
            sender.flush().await;
        });
        runtime.shutdown_background();
    });

    for _ in 0..MESSAGES {
        let received = timeout(Duration::from_secs(10), rx.recv()).await;
        assert!(received.is_ok_and(|it| it.is_some()), "a message was lost");
    }
    process.await.unwrap();
}
