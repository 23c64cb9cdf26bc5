//! Tests that messages fit into datagrams, since larger ones are dropped.

use ids::{ByteSize, Fingerprint, HostId, Incarnation, Millis, ServerKey, Timestamp};
use quarantine::{CRASH_THRESHOLD, Observer, ProbeOutcome, Quarantine, Records};

/// Maximum size of a message: that of a datagram without the frame around the message.
const MAX_SIZE: ByteSize = ByteSize(1_100);

#[test]
fn the_largest_messages_fit_into_datagrams() {
    let now = Timestamp::from_millis(100_000_000);
    let mut quarantine = Quarantine::new(now - Millis(60_000), 1);
    for request in 0..20_u8 {
        let fingerprint = Fingerprint::of(&[request]);
        for start in 0..20 {
            let address = "[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().unwrap();
            let server = ServerKey { address, incarnation: Incarnation(u64::MAX - start) };
            quarantine.lost(now, fingerprint, server, Observer::Own);
            quarantine.probed(now, server, ProbeOutcome::Refused);
        }
    }
    let wanted = schema::quarantine::QuarantineMessage::RecordsWanted;
    quarantine.on_message(now, HostId(2), &wanted, &[]);
    quarantine.tick(now + Millis(1_000));

    let outgoing = quarantine.take_outgoing();
    assert!(outgoing.len() > 20 / 3);
    for it in outgoing {
        let size = schema::encoded_size(&it.message);
        assert!(size <= MAX_SIZE, "{size}: {:?}", it.message);
    }
}

#[test]
fn records_merge_in_any_order() {
    let now = Timestamp::from_millis(1_000_000);
    let request = Fingerprint::of(b"request");
    let server = |number: u8| ServerKey {
        address: ([10, 0, 0, number], 80).into(),
        incarnation: Incarnation(1),
    };
    let (mut first, mut second) = (Records::default(), Records::default());
    first.add_crash(now, request, server(1), now);
    first.clear(now + Millis(100), request);
    first.add_crash(now + Millis(200), request, server(2), now + Millis(200));
    second.add_crash(now, request, server(1), now);
    for number in 3..6 {
        second.add_crash(now + Millis(300), request, server(number), now + Millis(300));
    }
    let at = now + Millis(400);
    let (one, two) = (first.message(at, request).unwrap(), second.message(at, request).unwrap());

    first.merge(at, &two);
    second.merge(at, &one);

    assert_eq!(first.message(at, request), second.message(at, request));
    assert_eq!(first.crashes(request), 1 + CRASH_THRESHOLD);
}
