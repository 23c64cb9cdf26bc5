//! Texts with an error are refused, and the error has the line of its cause.

use config::{CheckProblem, parse, parse_control_settings, parse_entry_settings};

const STRENGUR: &str = include_str!("../../../examples/strengur.yaml");
const DRUMSCAN: &str = include_str!("../../../examples/drumscan.yaml");

/// Replaces the first `from` in a valid text and returns the problems with their lines.
fn problems_after(from: &str, to: &str) -> Vec<(usize, CheckProblem)> {
    assert!(STRENGUR.contains(from), "the fixture lacks {from}");
    let text = STRENGUR.replacen(from, to, 1);
    let errors = parse(&text).expect_err("the text must be refused");
    errors.into_iter().map(|it| (it.line, it.problem)).collect()
}

fn line_of(needle: &str) -> usize {
    STRENGUR.lines().position(|it| it.contains(needle)).unwrap() + 1
}

#[test]
fn the_examples_are_accepted() {
    for text in [STRENGUR, DRUMSCAN] {
        let config = parse(text).unwrap();

        assert_eq!(config.text().services.len(), 4);
        assert_eq!(config.text().regions.len(), 3);
    }
}

#[test]
fn an_unknown_field_is_reported_with_its_line() {
    let problems = problems_after("idempotent: true", "idempotant: true");

    assert_eq!(problems.len(), 1);
    assert!(matches!(&problems[0].1, CheckProblem::Syntax(it) if it.contains("idempotant")));
    assert_eq!(problems[0].0, line_of("idempotent: true"));
}

#[test]
fn an_unknown_service_is_reported_with_the_existing_ones() {
    let problems = problems_after("[deposit, parts-stock]", "[deposit, parts]");

    let (line, problem) = &problems[0];
    assert_eq!(*line, line_of("[deposit, parts-stock]"));
    let expected = "there is no service `parts`; services are: \
                    bench-booking, deposit, parts-stock, queue";
    assert_eq!(problem.to_string(), expected);
}

#[test]
fn dependency_cycles_are_refused() {
    let problems = problems_after(
        "  - name: deposit\n    idempotent: false",
        "  - name: deposit\n    depends_on: [bench-booking]\n    idempotent: false",
    );

    let cycle = "deposit -> bench-booking -> deposit".to_owned();
    assert_eq!(problems[0].1, CheckProblem::DependencyCycle(cycle));
}

#[test]
fn long_dependency_chains_are_accepted() {
    const CHAIN_LENGTH: usize = 5_000;
    let service = STRENGUR.find("  - name: parts-stock").unwrap();
    let end = STRENGUR.find("routes:").unwrap();
    let template = &STRENGUR[service..end];
    let mut services = String::new();
    let mut routes = String::new();
    for number in 0..CHAIN_LENGTH {
        let name = format!("s{number}");
        let with_dependency = format!("{name}\n    depends_on: [s{}]", number + 1);
        let definition = if number + 1 < CHAIN_LENGTH { with_dependency } else { name.clone() };
        services +=
            &template.replace("parts-stock/probe", "probe").replace("parts-stock", &definition);
        routes += &format!("  - path: /{name}\n    service: {name}\n");
    }
    let start = STRENGUR.find("services:").unwrap();
    let tail = STRENGUR.find("organisations:").unwrap();
    let text = format!(
        "{}services:\n{services}routes:\n{routes}{}",
        &STRENGUR[..start],
        &STRENGUR[tail..]
    );

    let chain = parse(&text);
    let cyclic = parse(&text.replacen("depends_on: [s1]", "depends_on: [s0]", 1));

    assert!(
        chain.is_ok(),
        "{:?}",
        chain.err().map(|it| it.into_iter().take(2).collect::<Vec<_>>())
    );
    let problem = &cyclic.unwrap_err()[0].problem;
    assert_eq!(*problem, CheckProblem::DependencyCycle("s0 -> s0".to_owned()));
}

#[test]
fn reserved_paths_are_refused() {
    let problems = problems_after("- path: /queue", "- path: /directory");

    let reserved = CheckProblem::ReservedPath("/directory".to_owned());
    assert!(problems.iter().any(|it| it.1 == reserved));
}

#[test]
fn duplicates_are_refused() {
    let service = problems_after("name: parts-stock", "name: queue");
    let data_centre = problems_after("rvk-1, rvk-2", "rvk-1, ak-1");
    let route = problems_after("- path: /deposit", "- path: /queue/");
    let organisation = problems_after("name: bench\n", "name: players\n");

    assert!(service.iter().any(|it| matches!(it.1, CheckProblem::DuplicateService(_))));
    assert!(matches!(data_centre[0].1, CheckProblem::DuplicateDataCentre(_)));
    assert!(matches!(route[0].1, CheckProblem::DuplicateRoute(..)));
    assert!(matches!(organisation[0].1, CheckProblem::DuplicateOrganisation(_)));
}

#[test]
fn zero_and_contradictory_values_are_refused() {
    let version = problems_after("version: 1", "version: 0");
    let floor = problems_after("floor: 6", "floor: 0");
    let high_floor = problems_after("floor: 6", "floor: 13");
    let connections = problems_after("connections_per_server: 330", "connections_per_server: 2");
    let rate = problems_after("requests_per_second: 400", "requests_per_second: 0");
    let size = problems_after("max_request_bytes: 65536", "max_request_bytes: 0");

    assert_eq!(version[0].1, CheckProblem::Zero("version"));
    assert!(matches!(floor[0].1, CheckProblem::OutOfRange { name: "floor", .. }));
    let above = CheckProblem::FloorAboveServers { floor: 13, servers: 12 };
    assert_eq!(high_floor[0].1, above);
    assert!(matches!(connections[0].1, CheckProblem::FewerConnectionsThanSlots { .. }));
    assert_eq!(rate[0].1, CheckProblem::Zero("requests_per_second"));
    assert!(matches!(size[0].1, CheckProblem::OutOfRange { name: "max_request_bytes", .. }));
}

#[test]
fn malformed_paths_are_refused() {
    for path in ["queue", "/a//b", "/a/../b", "/a?b=1", "/a b"] {
        let problems = problems_after("- path: /queue", &format!("- path: \"{path}\""));

        assert!(problems.iter().any(|it| matches!(it.1, CheckProblem::BadPath(_))), "{path}");
    }
}

#[test]
fn random_texts_never_panic() {
    for case in 0..200u64 {
        let seed = ((case + 1) << 32) | 64;
        arbtest::arbtest(|u| {
            let mut text = STRENGUR.as_bytes().to_vec();
            while !u.is_empty() {
                let at = u.choose_index(text.len())?;
                text[at] = u.arbitrary()?;
            }
            let _ = parse(&String::from_utf8_lossy(&text));
            Ok(())
        })
        .seed(seed)
        .run();
    }
}

#[test]
fn settings_are_checked() {
    let text = "
host: 1
region: a
data_centre: a-1
caller_address: 127.0.0.1:7000
peer_address: 127.0.0.1:7001
admin_address: 127.0.0.1:7001
fleet_key_file: fleet.key
control_hosts: []
seeds: []
memory_budget_bytes: 5
";

    let errors = parse_entry_settings(text).unwrap_err();
    let unknown = parse_control_settings("host: 1\nhots: 2\n").unwrap_err();

    let lines: Vec<_> = errors.iter().map(|it| it.line).collect();
    assert_eq!(lines, [9, 7, 11]);
    assert_eq!(unknown.len(), 1);
}
