//! The audit trail is bounded, and a change of any entry shows.

use control_core::{MAX_AUDIT_ENTRIES, ReplicatedState, verify_page, verify_trail};
use ids::{Blob, ConfigVersion, ContentDigest, Epoch, WallTime};
use schema::{
    control_state::{AuditCommand, ClaimMap, Command, SubmitCommand},
    operator::{AuditOutcome, AuditPage, Origin},
};

fn refusal(number: u64) -> Command {
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

fn state_with(entries: u64) -> ReplicatedState {
    let mut state = ReplicatedState::default();
    for number in 0..entries {
        state.apply(refusal(number));
    }
    state
}

fn whole_page(state: &ReplicatedState) -> AuditPage {
    state.audit().page(0, usize::MAX)
}

#[test]
fn a_changed_removed_or_moved_entry_shows() {
    let page = whole_page(&state_with(5));
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
fn an_entry_of_another_trail_shows() {
    let mut page = whole_page(&state_with(5));
    let mut other = ReplicatedState::default();
    (10..15).for_each(|it| drop(other.apply(refusal(it))));

    page.entries[2] = whole_page(&other).entries[2].clone();

    assert!(verify_trail(&[page]).is_err());
}

#[test]
fn pages_follow_each_other() {
    let state = state_with(10);

    let first = state.audit().page(1, 4);
    let second = state.audit().page(5, 400);

    assert_eq!(verify_page(&first), Ok(()));
    assert_eq!(verify_page(&second), Ok(()));
    assert_eq!(verify_trail(&[first.clone(), second.clone()]), Ok(()));
    assert!(verify_trail(std::slice::from_ref(&first)).is_err(), "the second page is missing");
    assert!(verify_trail(&[second]).is_err(), "the first page is missing");
}

#[test]
fn the_trail_is_bounded_and_the_chain_goes_on() {
    let state = state_with(MAX_AUDIT_ENTRIES as u64 + 100);

    let page = whole_page(&state);

    assert_eq!(page.entries.len(), MAX_AUDIT_ENTRIES);
    assert_eq!(page.oldest, 101);
    assert_eq!(verify_page(&page), Ok(()));
    assert!(page.entries[0].record.summary.len() <= 1000);
}

#[test]
fn a_snapshot_holds_the_whole_state() {
    let mut state = state_with(20);
    state.apply(claim_map(1));
    state.apply(submission(1));
    state.apply(submission(2));

    let restored = ReplicatedState::restore(&state.save());

    assert_eq!(restored, state);
}

#[test]
fn a_claim_map_must_follow_the_current_epoch() {
    let mut state = ReplicatedState::default();

    for epoch in [2, 1, 1, 3, 2] {
        state.apply(claim_map(epoch));
    }

    assert_eq!(state.claim_map().epoch, Epoch(2));
}

fn submission(version: u64) -> Command {
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
