//! Tests that `daisypaddle trace` collects the log lines of one request.

use std::{
    fs,
    path::Path,
    process::{Command, Output},
};

use tempfile::TempDir;

const FAILED: &str =
    r#"{"ts_ms":2000,"msg":"request failed","request":"a1","attempts":"i-1:lost"}"#;
const ANSWERED: &str =
    r#"{"ts_ms":1500,"msg":"request answered","request":"a1","attempts":"i-2:answered"}"#;
const OTHER_REQUEST: &str =
    r#"{"ts_ms":1600,"msg":"request answered","request":"a10","attempts":""}"#;
const AVOIDED: &str = r#"{"ts_ms":2100,"msg":"server avoided","server":"i-1","cause":"lost"}"#;
const AVOIDED_LATER: &str =
    r#"{"ts_ms":9000,"msg":"server avoided","server":"i-1","cause":"lost"}"#;

/// Writes the log files of two hosts; one contains a line that is not JSON.
fn write_logs() -> TempDir {
    let folder = TempDir::new().unwrap();
    fs::write(folder.path().join("x.log"), [FAILED, "panicked at", AVOIDED].join("\n")).unwrap();
    fs::write(folder.path().join("y.log"), [ANSWERED, OTHER_REQUEST, AVOIDED_LATER].join("\n"))
        .unwrap();
    folder
}

fn trace(folder: &Path, args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_daisypaddle"));
    command.arg("trace").args(args).current_dir(folder).output().unwrap()
}

fn lines(output: &Output) -> Vec<String> {
    String::from_utf8(output.stdout.clone()).unwrap().lines().map(str::to_owned).collect()
}

#[test]
fn lines_with_the_request_id_are_printed_in_order_of_time() {
    let folder = write_logs();

    let output = trace(folder.path(), &["a1", "x.log", "y.log"]);

    assert!(output.status.success());
    assert_eq!(lines(&output), [format!("y.log: {ANSWERED}"), format!("x.log: {FAILED}")]);
}

#[test]
fn around_adds_lines_about_the_servers_within_the_interval() {
    let folder = write_logs();

    let output = trace(folder.path(), &["a1", "--around", "500", "x.log", "y.log"]);

    let expected =
        [format!("y.log: {ANSWERED}"), format!("x.log: {FAILED}"), format!("x.log: {AVOIDED}")];
    assert_eq!(lines(&output), expected);
}

#[test]
fn an_unknown_id_a_missing_file_and_invalid_arguments_are_errors() {
    let folder = write_logs();
    let codes = [
        ["a2", "x.log"].as_slice(),
        &["a1", "x.log", "z.log"],
        &["a1"],
        &["a1", "x.log", "--bogus"],
        &["a1", "x.log", "--around", "soon"],
    ]
    .map(|args| trace(folder.path(), args).status.code());

    assert_eq!(codes, [Some(1), Some(1), Some(2), Some(2), Some(2)]);
}
