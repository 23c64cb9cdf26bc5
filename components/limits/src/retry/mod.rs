//! Decides whether a failed attempt is retried, and whether a slow one is hedged.

mod budget;
mod hedge;
mod policy;

pub use self::{
    budget::{RetryBudget, RetryBudgetSettings},
    hedge::HedgePolicy,
    policy::{
        AttemptFailure, FinalOutcome, GiveUpReason, RequestAttempts, RetryDecision, RetryPolicy,
        RetryRequest,
    },
};
