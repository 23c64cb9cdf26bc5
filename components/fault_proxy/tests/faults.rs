//! Each fault affects connections and datagrams as documented.

use std::time::Duration;

use fault_proxy::{Fault, FaultProxy};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    time::timeout,
};

/// Time without data after which a test concludes that none arrives.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts a TCP server that echoes each connection; returns its address.
async fn echo_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut rx, mut tx) = stream.split();
                let _ = tokio::io::copy(&mut rx, &mut tx).await;
            });
        }
    });
    address
}

#[tokio::test]
async fn a_connection_passes_until_it_is_truncated() {
    let proxy = FaultProxy::start(echo_server().await, 1).await.unwrap();
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    stream.write_all(b"whole").await.unwrap();
    let mut whole = [0; 5];
    stream.read_exact(&mut whole).await.unwrap();

    proxy.set_backward(Fault::Truncate(8));
    stream.write_all(b"truncated").await.unwrap();
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.unwrap();

    assert_eq!(&whole, b"whole");
    assert_eq!(rest, b"tru");
}

#[tokio::test]
async fn a_blackhole_discards_data_and_a_freeze_delays_it() {
    let proxy = FaultProxy::start(echo_server().await, 1).await.unwrap();
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    let mut buf = [0; 4];

    proxy.set_backward(Fault::Blackhole);
    stream.write_all(b"lost").await.unwrap();
    let silent = timeout(SILENCE_TIMEOUT, stream.read_exact(&mut buf)).await;
    proxy.set_backward(Fault::Frozen);
    stream.write_all(b"held").await.unwrap();
    let frozen = timeout(SILENCE_TIMEOUT, stream.read_exact(&mut buf)).await;
    proxy.set_backward(Fault::None);
    stream.read_exact(&mut buf).await.unwrap();

    assert!(silent.is_err());
    assert!(frozen.is_err());
    assert_eq!(&buf, b"held");
}

#[tokio::test]
async fn datagrams_are_dropped_at_full_loss_and_pass_without_a_fault() {
    let target = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let proxy = FaultProxy::start(target.local_addr().unwrap(), 7).await.unwrap();
    let sender = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut buf = [0; 8];

    proxy.set_forward(Fault::Loss(100));
    sender.send_to(b"lost", proxy.address()).await.unwrap();
    let silent = timeout(SILENCE_TIMEOUT, target.recv_from(&mut buf)).await;
    proxy.set_forward(Fault::None);
    sender.send_to(b"kept", proxy.address()).await.unwrap();
    let (size, _) = target.recv_from(&mut buf).await.unwrap();

    assert!(silent.is_err());
    assert_eq!(&buf[..size], b"kept");
}
