//! Reading the configuration file.

use hollymux_server::config::Config;

const FILE: &str = include_str!("../../../examples/config.json");

/// Guards against a file that is accepted though its end is missing: it may be read while it is
/// being written.
#[test]
fn a_file_that_is_truncated_anywhere_is_rejected() {
    let whole = FILE.trim_end();
    assert!(Config::read(whole).is_ok());
    for at in 0..whole.len() {
        assert!(Config::read(&whole[..at]).is_err(), "cut at byte {at}");
    }
}

/// Guards against a number that is rejected, or becomes another one, for how it is written.
#[test]
fn a_whole_number_reads_the_same_however_it_is_written() {
    let written = FILE.replace("\"hardLimit\": 5000000", "\"hardLimit\": 5e6");
    assert_ne!(written, FILE);
    let original = Config::read(FILE).unwrap();
    let rewritten = Config::read(&written).unwrap();
    assert_eq!(original.settings, rewritten.settings);
    assert_eq!(original.check_replacement(&rewritten).map_err(|e| e.to_string()), Ok(()));
}
