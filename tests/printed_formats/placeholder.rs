//! Placeholders for values that vary from run to run: times, addresses, random identifiers.
//!
//! There are two rules, and no others. A known value is replaced where its exact text stands. A JSON field is
//! replaced by its name, in the text itself, so that the order of keys, the spaces and the type stay as printed.

use serde_json::Value;

/// Known values of one run, and what stands for them in a fixture.
#[derive(Default)]
pub struct Placeholders {
    known: Vec<KnownValue>,
}

struct KnownValue {
    text: String,
    placeholder: String,
}

impl Placeholders {
    /// Replaces this text wherever it stands.
    pub fn add(&mut self, text: impl ToString, placeholder: &str) {
        self.known.push(KnownValue { text: text.to_string(), placeholder: placeholder.into() });
    }

    /// Adds what varies in the answer to the call STATE: the digest, and the time and stamp of each word.
    pub fn add_state(&mut self, state: &Value) {
        self.add(state["digest"].as_str().unwrap(), "<digest>");
        for entry in state["first"].as_array().unwrap() {
            for word in entry["words"].as_array().unwrap() {
                self.add(word["stamp"].as_str().unwrap(), "<stamp>");
                self.add(&word["at_ms"], "<said at>");
                if word["until_ms"].is_u64() {
                    self.add(&word["until_ms"], "<holds until>");
                }
            }
        }
    }

    /// The text with a placeholder in place of each known value.
    pub fn apply(&self, text: &str) -> String {
        let replace = |text: String, known: &KnownValue| text.replace(&known.text, &known.placeholder);
        self.known.iter().fold(text.to_owned(), replace)
    }
}

/// The text of a JSON document with `<number>` in place of each number in the fields of these names.
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
        let shown = if rest.len() < value.len() { "<number>" } else { "" };
        hidden += &format!("{key}{space}{shown}{rest}");
    }
    hidden
}

#[test]
fn only_numbers_of_the_named_fields_are_hidden() {
    let text = r#"{"age":1.5,"list":[{"age": 20}],"other":7,"name":{"age":null,"b":"age"}}"#;
    let hidden = r#"{"age":<number>,"list":[{"age": <number>}],"other":7,"name":{"age":null,"b":"age"}}"#;
    assert_eq!(hide_numbers(text, &["age"]), hidden);
}
