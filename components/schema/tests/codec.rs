//! Decoding never panics, and what is encoded decodes to the same value.

use ids::{HostId, Incarnation};
use schema::{
    DecodeError, MAX_FRAME_BYTES, decode, encode,
    membership::{MembershipMessage, Probe},
    peer::{PeerFrame, PeerMessage},
};

const CASES: u64 = 300;
const CASE_BYTES: u64 = 256;

fn frame() -> PeerFrame {
    PeerFrame {
        from: HostId(1),
        to: HostId(2),
        incarnation: Incarnation(3),
        message: PeerMessage::Membership(MembershipMessage::Probe(Probe {
            origin: HostId(1),
            target: HostId(2),
        })),
    }
}

#[test]
fn a_frame_survives_the_codec() {
    let data = encode(&frame());

    let decoded = decode::<PeerFrame>(&data);

    assert_eq!(decoded, Ok(frame()));
}

#[test]
fn stray_and_missing_bytes_are_errors() {
    let mut data = encode(&frame());
    data.push(0);

    assert_eq!(decode::<PeerFrame>(&data), Err(DecodeError::TrailingBytes(1)));
    assert!(decode::<PeerFrame>(&data[..data.len() - 2]).is_err());
    assert!(decode::<PeerFrame>(&vec![0; MAX_FRAME_BYTES + 1]).is_err());
}

#[test]
fn random_bytes_never_panic() {
    for case in 0..CASES {
        let seed = ((case + 1) << 32) | CASE_BYTES;
        arbtest::arbtest(|u| {
            let data = u.bytes(u.len())?;
            let _ = decode::<PeerFrame>(data);
            Ok(())
        })
        .seed(seed)
        .run();
    }
}
