//! Compression of configuration texts: round trip, size and errors.

use arbtest::arbtest;
use ids::Blob;
use registry::{MAX_CONFIG_BYTES, UnpackError, pack_text, unpack_text};

#[test]
fn a_decompressed_text_equals_the_original() {
    arbtest(|u| {
        let text: Vec<u8> = u.arbitrary()?;
        assert_eq!(unpack_text(&pack_text(&text)).unwrap(), text);
        Ok(())
    });
}

#[test]
fn two_thousand_routes_are_sent_over_the_slowest_link_within_a_second() {
    let routes = (0..2_000_u64).map(|i| {
        let name = i.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!(
            r#"{{"name":"r-{name:x}","path":"/{i}/","repeats":true,"time_limit_ms":1500,"latency_aim_ms":800,"priority":1,"service":"s{}","attempts":2}}"#,
            i % 7
        )
    });
    let text = routes.collect::<Vec<_>>().join(",");

    let packed = pack_text(text.as_bytes());

    assert!(text.len() > 250_000, "{}", text.len());
    let size = ids::ByteSize(packed.as_slice().len() as u64);
    assert!(ids::MIN_LINK_RATE.transfer_time(size) < ids::Millis(1_000), "{size}");
}

#[test]
fn a_truncated_or_oversized_text_is_rejected() {
    let packed = pack_text(b"a configuration of some length");
    let truncated = Blob::from(packed.as_slice()[..packed.as_slice().len() / 2].to_vec());
    assert!(matches!(unpack_text(&truncated), Err(UnpackError::Malformed(_))));

    let oversized = pack_text(&vec![b' '; MAX_CONFIG_BYTES + 1]);
    assert!(matches!(unpack_text(&oversized), Err(UnpackError::TooLarge)));
}
