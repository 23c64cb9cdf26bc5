//! Generates the Rust types of messages, stored records and settings from JSON schema files.

use std::{collections::BTreeMap, fmt, fs, io, path::Path};

use schemars::schema::RootSchema;
use serde_json::{Map, Value, json};
use typify::{CrateVers, TypeSpace, TypeSpaceSettings};

/// Name of the schema file whose types are defined by hand in the `ids` crate.
const IDS_FILE: &str = "ids";

/// Why no Rust source could be generated from a schema file.
#[derive(Debug)]
pub enum GenerateError {
    /// The schema folder or a file in it could not be read, or a generated file not written.
    Io(io::Error),
    /// The file with this name is not valid JSON or not a valid JSON schema.
    Json(String, serde_json::Error),
    /// The schema with this name cannot be expressed in Rust.
    Schema(String, String),
}

impl fmt::Display for GenerateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(e) => write!(f, "cannot read a schema or write the generated code: {e}"),
            Self::Json(name, e) => write!(f, "{name}.json: {e}"),
            Self::Schema(name, e) => write!(f, "{name}.json: {e}"),
        }
    }
}

impl std::error::Error for GenerateError {}

impl From<io::Error> for GenerateError {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

/// Generates the Rust source of each schema file in `dir`, keyed by module name.
pub fn generate_all(dir: &Path) -> Result<BTreeMap<String, String>, GenerateError> {
    let mut sources = BTreeMap::new();
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path.extension().is_none_or(|it| it != "json") {
            continue;
        }
        let name = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        if name == IDS_FILE {
            continue;
        }
        let text = fs::read_to_string(&path)?;
        sources.insert(name.clone(), generate(&name, &text)?);
    }
    Ok(sources)
}

/// Generates the Rust source of module `name` from the schema `text`.
pub fn generate(name: &str, text: &str) -> Result<String, GenerateError> {
    let json_error = |e| GenerateError::Json(name.to_owned(), e);
    let mut document: Value = serde_json::from_str(text).map_err(json_error)?;
    let mut external = BTreeMap::new();
    localize_references(&mut document, &mut external);
    if let Some(definitions) = document.get_mut("definitions").and_then(Value::as_object_mut) {
        insert_external(definitions, external);
    }
    let root: RootSchema = serde_json::from_value(document).map_err(json_error)?;

    let mut settings = TypeSpaceSettings::default();
    settings.with_crate("ids", CrateVers::Any, None);
    settings.with_crate("schema", CrateVers::Any, None);
    settings.with_crate("std", CrateVers::Any, None);
    settings.with_derive("PartialEq".to_owned());
    settings.with_derive("Eq".to_owned());
    let mut types = TypeSpace::new(&settings);
    let schema_error = |e: String| GenerateError::Schema(name.to_owned(), e);
    types.add_root_schema(root).map_err(|e| schema_error(e.to_string()))?;
    let file = syn::parse2(types.to_stream()).map_err(|e| schema_error(e.to_string()))?;
    let header = format!("// Generated from schema/{name}.json; do not edit.\n\n");
    Ok(header + &clean_up_source(&prettyplease::unparse(&file)))
}

/// Removes the copies of the schema from doc comments and all `skip_serializing_if` attributes.
///
/// The postcard codec writes no field names, so every field must be serialized.
fn clean_up_source(source: &str) -> String {
    let mut cleaned = String::with_capacity(source.len());
    let mut in_details = false;
    for line in source.lines() {
        let text = line.trim_start();
        in_details |= text.starts_with("/// <details>");
        if !in_details {
            let line = match line.find(", skip_serializing_if") {
                Some(start) => format!("{})]", &line[..start]),
                None => line.to_owned(),
            };
            cleaned.push_str(&line);
            cleaned.push('\n');
        }
        in_details &= !text.starts_with("/// </details>");
    }
    cleaned
}

/// Rewrites references to definitions in other files as local ones, and collects the file of each
/// definition in `external`.
fn localize_references(value: &mut Value, external: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(map) => {
            if let Some(Value::String(reference)) = map.get_mut("$ref")
                && let Some((file, definition)) = reference.split_once(".json#/definitions/")
            {
                external.insert(definition.to_owned(), file.to_owned());
                *reference = format!("#/definitions/{definition}");
            }
            map.values_mut().for_each(|it| localize_references(it, external));
        }
        Value::Array(items) => {
            items.iter_mut().for_each(|it| localize_references(it, external));
        }
        _ => {}
    }
}

/// Adds a definition for each external reference, which names the existing Rust type.
fn insert_external(definitions: &mut Map<String, Value>, external: BTreeMap<String, String>) {
    for (definition, file) in external {
        let (krate, path) = match (file.as_str(), definition.as_str()) {
            (IDS_FILE, "SocketAddr") => ("std", "std::net::SocketAddr".to_owned()),
            (IDS_FILE, "Ipv4Addr") => ("std", "std::net::Ipv4Addr".to_owned()),
            (IDS_FILE, _) => ("ids", format!("ids::{definition}")),
            _ => ("schema", format!("schema::{file}::{definition}")),
        };
        let rust_type = json!({ "crate": krate, "version": "*", "path": path });
        definitions.insert(definition, json!({ "type": "string", "x-rust-type": rust_type }));
    }
}
