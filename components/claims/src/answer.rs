//! The sizes of stored answers.

use schema::claims::StoredAnswer;

/// The bytes of an answer that is kept.
pub(crate) fn kept_bytes(answer: &StoredAnswer) -> usize {
    match answer {
        StoredAnswer::Kept(answer) => answer.as_slice().len(),
        StoredAnswer::NotKept | StoredAnswer::Unknown => 0,
    }
}

/// The answer as it is kept where answers may have `max_answer` bytes.
pub(crate) fn bounded_answer(answer: StoredAnswer, max_answer: usize) -> StoredAnswer {
    if kept_bytes(&answer) > max_answer { StoredAnswer::NotKept } else { answer }
}
