//! Ids and digests are validated when they are parsed, and instants saturate at zero.

use ids::{ContentDigest, HostId, KeyDigest, Millis, ParseIdError, ServiceName, Timestamp};

#[test]
fn invalid_names_are_rejected() {
    let empty = "".parse::<ServiceName>();
    let spaced = "bench booking".parse::<ServiceName>();
    let long = "x".repeat(65).parse::<ServiceName>();

    assert_eq!(empty, Err(ParseIdError::Empty("service name")));
    assert_eq!(spaced, Err(ParseIdError::BadCharacter("service name")));
    assert_eq!(long, Err(ParseIdError::TooLong("service name", 64)));
}

#[test]
fn a_printed_digest_parses_to_the_same_digest() {
    let digest = ContentDigest::of(b"deposit");

    let parsed = digest.to_string().parse();

    assert_eq!(parsed, Ok(digest));
    assert!("zz".repeat(16).parse::<KeyDigest>().is_err());
    assert!("é".repeat(16).parse::<KeyDigest>().is_err());
}

#[test]
fn numbers_out_of_range_are_rejected() {
    assert_eq!("7".parse(), Ok(HostId(7)));
    assert_eq!("-1".parse::<HostId>(), Err(ParseIdError::BadNumber("host id")));
}

#[test]
fn subtraction_of_instants_saturates_at_zero() {
    let early = Timestamp::from_millis(1);
    let late = early + Millis(5);

    assert_eq!(late.since(early), Millis(5));
    assert_eq!(early.since(late), Millis(0));
    assert_eq!(early - Millis(9), Timestamp(0));
}
