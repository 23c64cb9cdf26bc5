//! An encoded message decodes to the same value, and decoding invalid data does not panic.

use ids::{HostId, Incarnation};
use schema::{
    DecodeError, MAX_FRAME_BYTES, decode, encode,
    membership::{MembershipMessage, Probe},
    peer::{PeerFrame, PeerMessage},
};

/// Number of random inputs.
const CASES: u64 = 300;
/// Size of each random input, in bytes.
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
fn an_encoded_frame_decodes_to_the_same_frame() {
    let data = encode(&frame());

    let decoded = decode::<PeerFrame>(&data);

    assert_eq!(decoded, Ok(frame()));
}

#[test]
fn trailing_and_missing_bytes_and_oversized_data_are_errors() {
    let mut data = encode(&frame());
    data.push(0);

    assert_eq!(decode::<PeerFrame>(&data), Err(DecodeError::TrailingBytes(1)));
    assert!(decode::<PeerFrame>(&data[..data.len() - 2]).is_err());
    assert!(decode::<PeerFrame>(&vec![0; MAX_FRAME_BYTES + 1]).is_err());
}

#[test]
fn decoding_random_bytes_does_not_panic() {
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
