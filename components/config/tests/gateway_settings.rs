//! Numbers of the settings of gateway fleets: integers, fractions, zeros and large values.

use config::{parse_gateway_settings, parse_registry_settings};
use ids::{DiskCount, Millis, RetryAllowance};

fn gateway_text(slack: &str, window: &str, stop: &str) -> String {
    format!(
        "ip: 10.1.0.1\nregion: north\ndata_centre: north-a\n\
         data_centres: [{{ name: north-a, region: north }}]\nseeds: [\"10.1.0.2:80\"]\n\
         peer_port: 7000\nmetrics_port: 9464\ncaller_address: 10.1.0.1:80\n\
         readiness_address: 10.1.0.1:81\ndirectory_address: 10.1.0.1:82\n\
         stop_within_s: {stop}\ndirectory_keep_s: 1\n\
         retry_budget:\n  share: 0.2\n  slack: {slack}\n  window_s: {window}\n"
    )
}

fn registry_text(lost_disks: &str, lifetime: &str) -> String {
    format!(
        "ip: 10.1.0.1\nregion: north\ndata_centre: north-a\n\
         data_centres: [{{ name: north-a, region: north }}]\nseeds: [\"10.1.0.2:80\"]\n\
         peer_port: 7000\nmetrics_port: 9464\nrequest_address: 10.1.0.1:80\n\
         data_folder: /data\nbootstrap: true\nlost_disks: {lost_disks}\n\
         announcement_lifetime_ms: {lifetime}\n"
    )
}

/// Shortest decimal forms of a number, as a template may write it.
fn forms(whole: u64, milli: u64) -> Vec<String> {
    let fraction = format!("{whole}.{milli:03}");
    match milli {
        0 => vec![whole.to_string(), format!("{whole}.0"), fraction],
        _ => vec![fraction],
    }
}

#[test]
fn a_retry_slack_may_be_a_fraction() {
    let text = gateway_text("22.285714285714285", "10", "6");

    let settings = parse_gateway_settings(&text).unwrap();

    assert_eq!(settings.retry_budget.slack, RetryAllowance { milli: 22_286 });
}

#[test]
fn random_numbers_are_read_in_each_form() {
    for case in 0..100u64 {
        let seed = ((case + 1) << 32) | 64;
        arbtest::arbtest(|u| {
            let whole = u.int_in_range(0..=5_000_000_000_u64)?;
            let milli = if u.arbitrary()? { 0 } else { u.int_in_range(1..=999_u64)? };
            for form in forms(whole, milli) {
                let gateway = parse_gateway_settings(&gateway_text(&form, &form, "6")).unwrap();
                let registry = parse_registry_settings(&registry_text("2", &form)).unwrap();

                let total = whole * 1_000 + milli;
                assert_eq!(gateway.retry_budget.slack.milli, total);
                assert_eq!(gateway.retry_budget.window_s.0, Millis(total));
                let rounded_up = whole + u64::from(milli > 0);
                assert_eq!(registry.announcement_lifetime_ms, Millis(rounded_up));
            }
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

#[test]
fn a_number_of_disks_may_have_a_decimal_point_but_no_fraction() {
    let settings = parse_registry_settings(&registry_text("2.0", "1500")).unwrap();
    let errors = parse_registry_settings(&registry_text("1.5", "1500")).unwrap_err();

    assert_eq!(settings.lost_disks, DiskCount(2));
    assert!(errors[0].to_string().contains("lost_disks"), "{}", errors[0]);
    assert_eq!(errors[0].line, 11);
}

#[test]
fn a_short_time_to_stop_is_accepted() {
    assert!(parse_gateway_settings(&gateway_text("0", "10", "0.5")).is_ok());
}

#[test]
fn numbers_that_mean_nothing_are_rejected_with_line_and_field() {
    for (slack, window, stop, field, line) in [
        ("-1", "10", "6", "slack", 15),
        (".nan", "10", "6", "slack", 15),
        ("many", "10", "6", "slack", 15),
        ("1", "-0.5", "6", "window_s", 16),
        ("1", "10", "0", "stop_within_s", 11),
    ] {
        let errors = parse_gateway_settings(&gateway_text(slack, window, stop)).unwrap_err();

        assert_eq!(errors.len(), 1);
        assert_eq!(errors[0].line, line, "{}", errors[0]);
        assert!(errors[0].to_string().contains(field), "{}", errors[0]);
    }
}

#[test]
fn a_strict_withdrawal_shorter_than_two_polls_is_rejected_with_line_and_field() {
    let text = |within: &str, strict: bool| {
        let base = gateway_text("1", "10", "6");
        format!("{base}key_withdrawal: {{ within_ms: {within}, strict: {strict} }}\n")
    };

    assert!(parse_gateway_settings(&text("5000.0", true)).is_ok());
    assert!(parse_gateway_settings(&text("1500", false)).is_ok());
    let errors = parse_gateway_settings(&text("2000", true)).unwrap_err();
    assert_eq!(errors[0].line, 17, "{}", errors[0]);
    assert!(errors[0].to_string().contains("within_ms"), "{}", errors[0]);
}

#[test]
fn limits_of_clients_are_checked_with_line_and_field() {
    let gateway = |line: &str| format!("{}{line}\n", gateway_text("1", "10", "6"));
    let registry = |line: &str| format!("{}{line}\n", registry_text("2", "1500"));

    for line in ["memory_mb: 160.0", "max_descriptors: 4100", "client_stall_s: 0.5"] {
        assert!(parse_gateway_settings(&gateway(line)).is_ok(), "{line}");
        assert!(parse_registry_settings(&registry(line)).is_ok(), "{line}");
    }
    for line in [
        "memory_mb: 16",
        "memory_mb: 160.5",
        "max_descriptors: 63",
        "max_descriptors: many",
        "client_stall_s: 0",
        "client_stall_s: 3601",
    ] {
        let errors = [
            (parse_gateway_settings(&gateway(line)).unwrap_err(), 17),
            (parse_registry_settings(&registry(line)).unwrap_err(), 13),
        ];
        for (errors, at) in errors {
            assert_eq!(errors[0].line, at, "{}", errors[0]);
            let field = line.split(':').next().unwrap();
            assert!(errors[0].to_string().contains(field), "{}", errors[0]);
        }
    }
}
