//! Tests of reading the configuration file.

use hollymux_server::config::Config;

const FILE: &str = include_str!("../../../examples/config.json");

/// Guards against a truncated file being accepted: the file may be read while it is being written.
#[test]
fn a_file_truncated_at_any_byte_is_rejected() {
    let text = FILE.trim_end();
    assert!(Config::read(text).is_ok());
    for length in 0..text.len() {
        assert!(Config::read(&text[..length]).is_err(), "a file cut after {length} bytes is accepted");
    }
}

/// Guards against an integer being rejected or misread because of its notation, such as an
/// exponent.
#[test]
fn integers_with_and_without_an_exponent_are_equal() {
    let with_exponent = FILE.replace("\"hardLimit\": 5000000", "\"hardLimit\": 5e6");
    assert_ne!(with_exponent, FILE);
    let original = Config::read(FILE).unwrap();
    let reread = Config::read(&with_exponent).unwrap();
    assert_eq!(original.settings, reread.settings);
    assert_eq!(original.check_replacement(&reread).map_err(|e| e.to_string()), Ok(()));
}
