//! The on-call page must have every log line.

use std::path::Path;

fn sources(dir: &Path, out: &mut Vec<String>) {
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, out);
        } else {
            out.push(std::fs::read_to_string(path).unwrap());
        }
    }
}

#[test]
fn on_call_page_has_every_log_line() {
    let page = std::fs::read_to_string("docs/on-call.md").unwrap();
    let mut texts = Vec::new();
    sources(Path::new("src"), &mut texts);
    let mut lines = 0;
    for text in &texts {
        for level in ["tracing::error!(", "tracing::warn!(", "tracing::info!(", "tracing::debug!("] {
            for call in text.split(level).skip(1) {
                let format = call.split('"').nth(1).unwrap();
                // The longest run of words that is the same in each such line.
                let fixed = format.split(['{', '}', '\\']).map(str::trim).filter(|p| p.contains(' '));
                let Some(fixed) = fixed.max_by_key(|p| p.len()) else { continue };
                assert!(page.contains(fixed), "{fixed:?} is not on the page");
                lines += 1;
            }
        }
    }
    assert!(lines > 25, "{lines} log lines were found");
}
