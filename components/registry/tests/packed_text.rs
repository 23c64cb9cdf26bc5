//! Configuration texts travel small and come back as they were put.

use arbtest::arbtest;
use ids::Blob;
use registry::{MAX_CONFIG_BYTES, UnpackError, pack_text, unpack_text};

#[test]
fn a_text_comes_back_as_it_was_put() {
    arbtest(|u| {
        let text: Vec<u8> = u.arbitrary()?;
        assert_eq!(unpack_text(&pack_text(&text)).unwrap(), text);
        Ok(())
    });
}

#[test]
fn a_text_of_thousands_of_routes_crosses_a_slow_link_within_a_second() {
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
    assert!(ids::SLOWEST_LINK.time_for(size) < ids::Millis(1_000), "{size}");
}

#[test]
fn a_text_that_is_broken_off_or_too_large_is_an_error() {
    let packed = pack_text(b"a configuration of some length");
    let half = Blob::from(packed.as_slice()[..packed.as_slice().len() / 2].to_vec());
    assert!(matches!(unpack_text(&half), Err(UnpackError::Malformed(_))));

    let large = pack_text(&vec![b' '; MAX_CONFIG_BYTES + 1]);
    assert!(matches!(unpack_text(&large), Err(UnpackError::TooLarge)));
}
