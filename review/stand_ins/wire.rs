//! The names and messages of the platform, which `wire.txt` holds: a name and a text a line. A word in angle
//! brackets stands for a value.

const WIRE: &str = include_str!("wire.txt");

/// Returns the text with a name.
pub fn text(name: &str) -> &'static str {
    let lines = WIRE.lines().filter_map(|it| it.split_once(": "));
    let mut found = lines.filter(|(it, _)| *it == name);
    found.next().expect("the text is in the file").1
}

/// Returns a text with its values.
pub fn fill(name: &str, values: &[(&str, &str)]) -> String {
    values.iter().fold(text(name).to_owned(), |text, (word, value)| {
        text.replace(&format!("<{word}>"), value)
    })
}
