//! Size limits of stored answers.

use schema::claims::StoredAnswer;

/// Returns the size of the answer's content in bytes; 0 if the content is not kept.
pub(crate) fn kept_bytes(answer: &StoredAnswer) -> usize {
    match answer {
        StoredAnswer::Kept(answer) => answer.as_slice().len(),
        StoredAnswer::NotKept | StoredAnswer::Unknown => 0,
    }
}

/// Drops the content of an answer that is larger than `max_answer` bytes.
pub(crate) fn bounded_answer(answer: StoredAnswer, max_answer: usize) -> StoredAnswer {
    if kept_bytes(&answer) > max_answer { StoredAnswer::NotKept } else { answer }
}
