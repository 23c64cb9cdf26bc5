//! Tests that the audit trail is bounded and that verification detects a change of any entry.

use control_core::{MAX_AUDIT_ENTRIES, ReplicatedState, verify_page, verify_trail};
use ids::{Blob, ConfigVersion, ContentDigest, Epoch, WallTime};
use schema::{
    control_state::{AuditCommand, ClaimMap, Command, SubmitCommand},
    operator::{AuditOutcome, AuditPage, Origin},
};

fn rejection(number: u64) -> Command {
    let (operator, address) = (format!("operator {number}"), "192.0.2.1:1".to_owned());
    Command::Audit(AuditCommand {
        origin: Origin { operator, address },
        at: WallTime(number),
        version: ConfigVersion(0),
        digest: ContentDigest::default(),
        outcome: AuditOutcome::Invalid,
        summary: "é".repeat(2000),
    })
}

fn state_with_entries(count: u64) -> ReplicatedState {
    let mut state = ReplicatedState::default();
    for number in 0..count {
        state.apply(rejection(number));
    }
    state
}

fn full_page(state: &ReplicatedState) -> AuditPage {
    state.audit().page(0, usize::MAX)
}

#[test]
fn verification_detects_changed_removed_and_moved_entries() {
    let page = full_page(&state_with_entries(5));
    assert_eq!(verify_trail(std::slice::from_ref(&page)), Ok(()));

    for i in 0..5 {
        let mut changed = page.clone();
        changed.entries[i].record.origin.operator.push('x');
        assert!(verify_trail(&[changed]).is_err(), "entry {i} changed");

        let mut removed = page.clone();
        removed.entries.remove(i);
        assert!(verify_trail(&[removed]).is_err(), "entry {i} removed");

        let mut moved = page.clone();
        moved.entries.swap(i, (i + 1) % 5);
        assert!(verify_trail(&[moved]).is_err(), "entry {i} moved");
    }
}

#[test]
fn verification_detects_an_entry_of_another_trail() {
    let mut page = full_page(&state_with_entries(5));
    let mut other = ReplicatedState::default();
    (10..15).for_each(|it| drop(other.apply(rejection(it))));

    page.entries[2] = full_page(&other).entries[2].clone();

    assert!(verify_trail(&[page]).is_err());
}

#[test]
fn verification_needs_all_pages() {
    let state = state_with_entries(10);

    let first = state.audit().page(1, 4);
    let second = state.audit().page(5, 400);

    assert_eq!(verify_page(&first), Ok(()));
    assert_eq!(verify_page(&second), Ok(()));
    assert_eq!(verify_trail(&[first.clone(), second.clone()]), Ok(()));
    assert!(verify_trail(std::slice::from_ref(&first)).is_err(), "the second page is missing");
    assert!(verify_trail(&[second]).is_err(), "the first page is missing");
}

#[test]
fn the_trail_is_bounded_and_its_chain_stays_valid() {
    let state = state_with_entries(MAX_AUDIT_ENTRIES as u64 + 100);

    let page = full_page(&state);

    assert_eq!(page.entries.len(), MAX_AUDIT_ENTRIES);
    assert_eq!(page.oldest, 101);
    assert_eq!(verify_page(&page), Ok(()));
    assert!(page.entries[0].record.summary.len() <= 1000);
}

#[test]
fn a_snapshot_restores_the_whole_state() {
    let mut state = state_with_entries(20);
    state.apply(claim_map(1));
    state.apply(submit(1));
    state.apply(submit(2));

    let restored = ReplicatedState::restore(&state.save());

    assert_eq!(restored, state);
}

#[test]
fn a_claim_map_must_have_the_next_epoch() {
    let mut state = ReplicatedState::default();

    for epoch in [2, 1, 1, 3, 2] {
        state.apply(claim_map(epoch));
    }

    assert_eq!(state.claim_map().epoch, Epoch(2));
}

fn submit(version: u64) -> Command {
    let (operator, address) = ("anna".to_owned(), "192.0.2.1:1".to_owned());
    Command::Submit(SubmitCommand {
        origin: Origin { operator, address },
        at: WallTime(version),
        version: ConfigVersion(version),
        digest: ContentDigest::of(&[version as u8]),
        text: format!("text {version}"),
        summary: String::new(),
    })
}

fn claim_map(epoch: u64) -> Command {
    Command::ClaimMap(ClaimMap { epoch: Epoch(epoch), data: Blob::from(vec![epoch as u8]) })
}
