//! Messages and stored records keep the bytes that older builds write and read.
//!
//! Each line of a file in `recorded/` holds a type, the bytes that the build of that commit wrote, and
//! the value as JSON.

use std::fmt::Debug;

use schema::{
    consensus::Snapshot,
    decode, encode,
    peer::PeerMessage,
    registry::{RegistryCommand, RegistrySnapshot},
    storage::{Identity, Record},
};
use serde::{Serialize, de::DeserializeOwned};

const RECORDED: &str = include_str!("recorded/287041c.txt");

fn from_hex(text: &str) -> Vec<u8> {
    let digit = |it: u8| char::from(it).to_digit(16).unwrap() as u8;
    text.as_bytes().chunks(2).map(|it| digit(it[0]) << 4 | digit(it[1])).collect()
}

/// The older build can read what this one writes, and the other way round.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(bytes: &[u8], json: &str) {
    let value: T = serde_json::from_str(json).unwrap();
    assert_eq!(encode(&value), bytes, "written otherwise: {value:?}");
    assert_eq!(decode(bytes), Ok(value));
}

#[test]
fn an_older_build_reads_what_this_one_writes_and_the_other_way_round() {
    for line in RECORDED.lines() {
        let [name, hex, json] = line.splitn(3, ' ').collect::<Vec<_>>().try_into().unwrap();
        let bytes = from_hex(hex);
        match name {
            "PeerMessage" => check::<PeerMessage>(&bytes, json),
            "Record" => check::<Record>(&bytes, json),
            "Identity" => check::<Identity>(&bytes, json),
            "Snapshot" => check::<Snapshot>(&bytes, json),
            "RegistryCommand" => check::<RegistryCommand>(&bytes, json),
            "RegistrySnapshot" => check::<RegistrySnapshot>(&bytes, json),
            name => panic!("unknown type {name}"),
        }
    }
}
