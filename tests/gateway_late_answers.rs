//! Tests with real processes that a second copy of an answer, which arrives on a connection that is in
//! use again, reaches no other caller.

mod gateway;

use gateway::{LateCopy, serving_fleet};

const GATEWAY: u8 = 11;

/// Each answer is the caller's own, and what is told as not run has not run.
fn assert_harmless(copy: LateCopy) {
    let (fleet, server) = serving_fleet();
    *server.late_copies.lock().unwrap() = Some(copy);
    let mut copies = 0;

    for i in 0..40 {
        let (id, path) = (format!("late-{i}"), format!("/look/{i}"));
        let response = fleet.request(GATEWAY, &id, &path).expect("an answer");

        let has_run = server.runs.lock().unwrap().contains(&id);
        match response.status {
            200 => assert_eq!(String::from_utf8(response.body).unwrap(), format!("i-1 {path}")),
            503 => assert!(!has_run, "{id} has run and is told as not run"),
            _ => copies += u32::from(has_run),
        }
    }

    assert!(copies > 0, "no connection was in use again");
}

#[test]
fn a_late_second_copy_of_an_answer_is_not_given_to_the_next_caller() {
    assert_harmless(LateCopy::Answer);
}

#[test]
fn a_late_second_copy_of_a_refusal_does_not_tell_the_next_caller_that_nothing_ran() {
    assert_harmless(LateCopy::NotRun);
}
