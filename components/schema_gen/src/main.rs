//! Writes the generated Rust types into the sources of the `schema` crate.

use std::{fs, path::Path, process::ExitCode};

fn main() -> ExitCode {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    match write_all(&root) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log_error(&e);
            ExitCode::FAILURE
        }
    }
}

#[allow(clippy::print_stderr)]
fn log_error(e: &schema_gen::GenerateError) {
    eprintln!("schema_gen: {e}");
}

fn write_all(root: &Path) -> Result<(), schema_gen::GenerateError> {
    for (name, source) in schema_gen::generate_all(&root.join("schema"))? {
        let path = root.join("components/schema/src/generated").join(format!("{name}.rs"));
        fs::write(path, source)?;
    }
    Ok(())
}
