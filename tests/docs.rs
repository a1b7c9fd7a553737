//! Checks that the on-call page lists every log line of the sources.

use std::path::Path;

fn append_sources(directory: &Path, texts: &mut Vec<String>) {
    for entry in std::fs::read_dir(directory).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            append_sources(&path, texts);
        } else {
            texts.push(std::fs::read_to_string(path).unwrap());
        }
    }
}

#[test]
fn on_call_page_has_every_log_line() {
    let page = std::fs::read_to_string("docs/on-call.md").unwrap();
    let mut texts = Vec::new();
    append_sources(Path::new("src"), &mut texts);
    let mut lines = 0;
    for text in &texts {
        for level in ["tracing::error!(", "tracing::warn!(", "tracing::info!(", "tracing::debug!("] {
            for call in text.split(level).skip(1) {
                let format = call.split('"').nth(1).unwrap();
                // The longest text between placeholders, which is the same in each line of this format.
                let fixed = format.split(['{', '}', '\\']).map(str::trim).filter(|p| p.contains(' '));
                let Some(fixed) = fixed.max_by_key(|p| p.len()) else { continue };
                assert!(page.contains(fixed), "{fixed:?} is not in docs/on-call.md");
                lines += 1;
            }
        }
    }
    assert!(lines > 25, "{lines} log lines were found");
}
