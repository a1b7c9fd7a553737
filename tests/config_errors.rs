//! Messages and causes of configuration errors.

use pebbleturn::config::{ConfigErrorKind, NodesFile, OperatorConfig, PlatformConfig};
use std::error::Error;
use std::net::AddrParseError;
use std::path::Path;

/// Whether an error of type `E` is in the chain of causes.
fn is_caused_by<E: Error + 'static>(error: &dyn Error) -> bool {
    error.source().is_some_and(|cause| cause.is::<E>() || is_caused_by::<E>(cause))
}

#[test]
fn a_file_that_cannot_be_read_is_named_and_its_cause_is_kept() {
    let path = Path::new("/nowhere/nodes.toml");
    let error = NodesFile::from_file(path, 4).unwrap_err();
    let cause = std::fs::read(path).unwrap_err();
    assert!(matches!(error.kind(), ConfigErrorKind::Read(_)));
    assert_eq!(error.to_string(), format!("unusable configuration: /nowhere/nodes.toml: {cause}"));
    assert!(is_caused_by::<std::io::Error>(&error));
}

#[test]
fn a_bad_address_is_named_with_its_setting_and_its_cause_is_kept() {
    let file = include_str!("fixtures/printed/inputs/sound.json").replace("127.0.0.1:15000", "nowhere");
    let error = PlatformConfig::read(&file, |_| None).unwrap_err();
    let expected = "unusable configuration: GW_LISTEN \"nowhere\": invalid socket address syntax";
    assert_eq!(error.to_string(), expected);
    assert!(is_caused_by::<AddrParseError>(&error));
}

#[test]
fn all_mistakes_of_an_operator_s_file_are_kept_apart_and_printed_in_one_line() {
    let error = OperatorConfig::read("name = 1\ncolour = 2").unwrap_err();
    let ConfigErrorKind::Diagnostics(diagnostics) = error.kind() else { panic!("{error:?}") };
    let lines: Vec<String> = diagnostics.iter().map(|d| d.to_string()).collect();
    assert!(lines.len() > 3, "{lines:?}");
    assert_eq!(error.to_string(), format!("unusable configuration: {}", lines.join("; ")));
}
