//! Forwards datagrams to the target, and those of the target to the last sender.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::UdpSocket, time::sleep};

use crate::faults::{Direction, Fault, Faults};

/// Larger than the maximum size of a datagram.
const BUFFER_BYTES: usize = 65_536;

/// Forwards datagrams in both directions until the task is aborted.
pub(crate) async fn forward_all(socket: UdpSocket, target: SocketAddr, faults: Arc<Faults>) {
    let socket = Arc::new(socket);
    let mut buf = vec![0; BUFFER_BYTES];
    let mut sender = None;
    loop {
        // An error here is an ICMP reply to a datagram sent earlier, such as port unreachable.
        let Ok((size, from)) = socket.recv_from(&mut buf).await else { continue };
        let (direction, to) = match sender {
            Some(sender) if from == target => (Direction::Backward, sender),
            _ => (Direction::Forward, target),
        };
        if direction == Direction::Forward {
            sender = Some(from);
        }
        let Some(delay) = datagram_delay(&faults, direction) else { continue };
        let (socket, data) = (socket.clone(), buf[..size].to_vec());
        tokio::spawn(async move {
            if delay > Duration::ZERO {
                sleep(delay).await;
            }
            let _ = socket.send_to(&data, to).await;
        });
    }
}

/// Returns the delay of a datagram, or `None` if the fault drops it.
fn datagram_delay(faults: &Faults, direction: Direction) -> Option<Duration> {
    match faults.current(direction) {
        Fault::None | Fault::Truncate(_) => Some(Duration::ZERO),
        Fault::Delay(delay) => Some(delay),
        Fault::Blackhole | Fault::Frozen => None,
        Fault::Loss(percent) => (faults.draw(100) >= percent).then_some(Duration::ZERO),
        Fault::Reorder(max_delay) => {
            let micros = u32::try_from(max_delay.as_micros()).unwrap_or(u32::MAX);
            Some(Duration::from_micros(faults.draw(micros).into()))
        }
    }
}
