//! Placeholders for values that vary from run to run: times, addresses, random identifiers.
//!
//! There are two kinds of replacement. A known value is replaced wherever its exact text occurs. A number in
//! a JSON field is found by the field's name and replaced in the text itself, so that the order of keys, the
//! spaces and the type stay as printed.

use serde_json::Value;

/// Known values of one run, and their placeholders in a fixture.
#[derive(Default)]
pub struct Placeholders {
    known: Vec<KnownValue>,
}

struct KnownValue {
    text: String,
    placeholder: String,
}

impl Placeholders {
    /// Replaces this text wherever it occurs.
    pub fn add(&mut self, text: impl ToString, placeholder: &str) {
        self.known.push(KnownValue { text: text.to_string(), placeholder: placeholder.into() });
    }

    /// Adds the values that vary in the response to STATE: the digest, and the stamp and times of each
    /// command.
    pub fn add_state(&mut self, state: &Value) {
        self.add(state["digest"].as_str().unwrap(), "<digest>");
        for entry in state["first"].as_array().unwrap() {
            for command in entry["words"].as_array().unwrap() {
                self.add(command["stamp"].as_str().unwrap(), "<stamp>");
                self.add(&command["at_ms"], "<said at>");
                if command["until_ms"].is_u64() {
                    self.add(&command["until_ms"], "<holds until>");
                }
            }
        }
    }

    /// Replaces each known value in the text with its placeholder.
    pub fn apply(&self, text: &str) -> String {
        let replace = |text: String, known: &KnownValue| text.replace(&known.text, &known.placeholder);
        self.known.iter().fold(text.to_owned(), replace)
    }
}

/// Replaces each number in the fields of these names with `<number>`, in the text of a JSON document.
pub fn hide_numbers(text: &str, names: &[&str]) -> String {
    names.iter().fold(text.to_owned(), |text, name| hide_number(&text, name))
}

fn hide_number(text: &str, name: &str) -> String {
    let key = format!("\"{name}\":");
    let mut pieces = text.split(&key);
    let mut hidden = pieces.next().unwrap_or_default().to_owned();
    for piece in pieces {
        let value = piece.trim_start();
        let space = &piece[..piece.len() - value.len()];
        let rest = value.trim_start_matches(|c: char| c.is_ascii_digit() || "+-.e".contains(c));
        let replacement = if rest.len() < value.len() { "<number>" } else { "" };
        hidden += &format!("{key}{space}{replacement}{rest}");
    }
    hidden
}

#[test]
fn only_numbers_of_the_named_fields_are_hidden() {
    let text = r#"{"age":1.5,"list":[{"age": 20}],"other":7,"name":{"age":null,"b":"age"}}"#;
    let hidden = r#"{"age":<number>,"list":[{"age": <number>}],"other":7,"name":{"age":null,"b":"age"}}"#;
    assert_eq!(hide_numbers(text, &["age"]), hidden);
}
