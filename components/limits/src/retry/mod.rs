//! Decides after a failed attempt whether the request is tried again, waits or is given up.

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
