//! Checks that the names in the glossary exist in the code.

use std::path::Path;

fn append_sources(directory: &Path, text: &mut String) {
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            append_sources(&path, text);
        } else {
            text.push_str(&std::fs::read_to_string(path).unwrap());
        }
    }
}

fn contains_word(source: &str, name: &str) -> bool {
    let is_word_char = |c: char| c.is_alphanumeric() || c == '_';
    source.match_indices(name).any(|(start, _)| {
        let before = source[..start].chars().next_back();
        let after = source[start + name.len()..].chars().next();
        !before.is_some_and(is_word_char) && !after.is_some_and(is_word_char)
    })
}

#[test]
fn every_name_of_the_glossary_is_in_the_code() {
    let page = std::fs::read_to_string("docs/glossary.md").unwrap();
    let mut source = String::new();
    append_sources(Path::new("src"), &mut source);
    let rows = page.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| term"));
    let mut checked = 0;
    for row in rows.filter(|row| !row.contains("---")) {
        let names = row.trim_end_matches(" |").rsplit(" | ").next().unwrap();
        for name in names.split('`').skip(1).step_by(2) {
            assert!(contains_word(&source, name), "{name:?} of the glossary is not in src/");
            checked += 1;
        }
    }
    assert!(checked > 60, "{checked} names were found");
}
