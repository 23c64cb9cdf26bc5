//! The committed generated code is up to date, and invalid schemas are reported.

use std::{fs, path::Path};

#[test]
fn the_committed_code_matches_the_schemas() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");

    let sources = schema_gen::generate_all(&root.join("schema")).unwrap();

    assert!(!sources.is_empty());
    for (name, source) in sources {
        let path = root.join("components/schema/src/generated").join(format!("{name}.rs"));
        let committed = fs::read_to_string(&path).unwrap_or_default();
        assert!(committed == source, "{name}.rs is stale: run `cargo run -p schema_gen`");
    }
}

#[test]
fn an_invalid_schema_is_an_error() {
    let result = schema_gen::generate("invalid", r#"{"definitions": 3}"#);

    assert!(result.is_err());
}
