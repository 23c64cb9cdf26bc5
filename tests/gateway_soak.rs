//! A short fault soak with fixed seeds; `cargo run --release --example daisypaddle-soak` runs longer ones.

mod gateway;
mod soak;

use std::time::Duration;

const GATEWAYS: u8 = 6;

const LENGTH: Duration = Duration::from_secs(20);

#[test]
fn promises_hold_through_a_schedule_of_overlapping_faults() {
    for seed in [1, 2] {
        let report = soak::run(seed, LENGTH, GATEWAYS, None);
        assert!(report.findings.is_empty(), "{report}");
    }
}
