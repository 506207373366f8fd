//! The command line: what is printed, and the exit codes that scripts go by.

mod common;

use common::*;

fn run(args: &[&str]) -> (i32, String, String) {
    let path = temp_file("config.json", "");
    let out = hollymux_command(&path, args).stdout(std::process::Stdio::piped()).output().unwrap();
    let text = |b: Vec<u8>| String::from_utf8(b).unwrap();
    (out.status.code().unwrap(), text(out.stdout), text(out.stderr))
}

#[test]
fn every_error_of_an_operators_file_is_reported_with_its_position() {
    let text = "{\n  dns: {\n    zone: 'a..b',\n    lisen: '127.0.0.1:5300',\n    follow: 'nowhere',\n  },\n  dsn: 1,\n}";
    let fleet = "{fleet: {name: '', listen: '0.0.0.0:7946', seeds: ['10.0.0.1:0'], answer_ms: 500, suspect_least_ms: 900}}";
    let path = temp_file("operator.json5", text);
    let (code, out, err) = run(&["check", path.to_str().unwrap()]);
    let err = err.replace(path.to_str().unwrap(), "FILE");
    assert_eq!((code, out.as_str()), (2, ""));
    insta::assert_snapshot!(err, @r"
    hollymux: FILE:3:11: dns.zone: is no domain name
    hollymux: FILE:4:12: dns.lisen: unknown field `lisen`, expected one of `zone`, `listen`, `follow`
    hollymux: FILE:5:13: dns.follow: invalid socket address syntax
    hollymux: FILE:7:8: dsn: unknown field `dsn`, expected one of `dns`, `record`, `fleet`
    ");
    let path = temp_file("operator.json5", fleet);
    let err = run(&["check", path.to_str().unwrap()]).2.replace(path.to_str().unwrap(), "FILE");
    insta::assert_snapshot!(err, @r"
    hollymux: FILE:1:16: fleet.name: must have 1 to 64 bytes
    hollymux: FILE:1:28: fleet.listen: is no address that others can send to; give one in advertise
    hollymux: FILE:1:52: fleet.seeds[0]: is no address to send to
    hollymux: FILE:1:78: fleet.answer_ms: must be at least 10 and less than probe_ms
    hollymux: FILE:1:101: fleet.suspect_least_ms: must be at least twice probe_ms, at most 60000
    ");
}

#[test]
fn a_valid_operators_file_is_printed_with_its_defaults_and_the_schema_names_every_field() {
    let path =
        temp_file("operator.json5", "{dns: {zone: 'route.example', listen: '127.0.0.1:0'}} // enough\n");
    let (code, out, err) = run(&["check", path.to_str().unwrap()]);
    assert_eq!((code, err.as_str()), (0, ""));
    assert!(out.contains("\"follow\": null"), "{out}");
    let (code, schema, _) = run(&["check", "--schema"]);
    assert_eq!(code, 0);
    for field in ["dns", "zone", "listen", "follow", "additionalProperties"] {
        assert!(schema.contains(&format!("\"{field}\"")), "{field}: {schema}");
    }
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.json5");
    assert_eq!(run(&["check", shipped]).0, 0);
}

#[test]
fn usage_help_version_and_completions_are_printed() {
    assert_eq!(run(&["--nonsense"]).0, 2);
    assert_eq!(run(&["check"]).0, 2);
    assert_eq!(run(&["check", "no-such-file"]).0, 2);
    assert_eq!(run(&["--log", "loud", "serve"]).0, 2);
    assert_eq!(run(&["--version"]).1, format!("hollymux {}\n", env!("CARGO_PKG_VERSION")));
    let (code, help, _) = run(&["--help"]);
    assert!(code == 0 && help.contains("Examples:") && help.contains("Exit codes:"), "{help}");
    assert!(run(&["completions", "bash"]).1.contains("_hollymux"));
}

#[test]
fn a_request_can_be_followed_through_the_log_by_its_id() {
    let feed = StubFeed::start();
    let endpoint = StubEndpoint::start(StubBehavior::Data(b"bytes".to_vec()));
    let origin = StubEndpoint::start(StubBehavior::Data(b"bytes".to_vec()));
    let list = [
        endpoint_line("s-a", endpoint.addr, "std", "ready"),
        endpoint_line("s-o", origin.addr, "origin", "ready"),
    ];
    feed.publish_endpoints(true, &list);
    let node = RouterProcess::with_arguments(&feed, &["--log", "debug", "--log-format", "json"]);
    let mut client = Client::connect(node.addr);
    let mut tag = 0;
    wait_until("the list", || {
        tag += 1;
        let rid = 0x9b1f_03aa_5c7e_2d40 + u64::from(tag);
        client.get(tag, "docs", rid, 7).contains(" good ").then_some(())
    });
    let closed = wait_until("the request's end", || {
        let line = node.wait_for_log("request closed");
        let event: serde_json::Value = serde_json::from_str(&line).unwrap();
        (event["result"] == "Served").then_some(event)
    });
    assert_eq!(closed["rid"], format!("{:016x}", 0x9b1f_03aa_5c7e_2d40 + u64::from(tag)));
    assert_eq!(closed["class"], "docs");
    assert_eq!(closed["endpoint"], "s-a");
    assert_eq!(closed["reason"], "Completed");
    assert_eq!((closed["bytes"].as_u64(), closed["attempts"].as_u64()), (Some(5), Some(1)));
}

/// Scripts use the earlier names of sub-commands and options.
#[test]
fn earlier_names_of_commands_and_options_are_hidden_aliases_of_the_new_ones() {
    let same_help: [(&[&str], &[&str]); 8] = [
        (&["lab", "--help"], &["simulate", "--help"]),
        (&["lab", "run", "--help"], &["simulate", "run", "--help"]),
        (&["lab", "fleet", "--help"], &["simulate", "cluster", "--help"]),
        (&["lab", "sweep", "--help"], &["simulate", "sweep", "--help"]),
        (&["fleet", "--help"], &["cluster", "--help"]),
        (&["fleet", "limits", "--help"], &["cluster", "limits", "--help"]),
        (&["record", "--help"], &["capture", "--help"]),
        (&["record", "info", "--help"], &["capture", "info", "--help"]),
    ];
    for (earlier, new) in same_help {
        let help = run(new);
        assert_eq!(help.0, 0, "{new:?}: {}", help.2);
        assert_eq!(run(earlier), help, "{earlier:?} and {new:?}");
    }
    assert_eq!(run(&["lab", "schema"]), run(&["simulate", "schema"]));
    // Nothing serves there: both connect, and fail alike.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    for words in [vec!["cluster"], vec!["cluster", "limits"]] {
        let run_with = |option: &str| run(&[&words[..1], &[option, &closed], &words[1..]].concat());
        let (code, out, err) = run_with("--admin");
        assert_eq!((code, out.as_str()), (1, ""));
        assert!(err.contains(&closed), "{err}");
        assert_eq!(run_with("--door"), (code, out, err));
    }
    let help = run(&["--help"]).1;
    for new in ["simulate", "cluster", "capture"] {
        assert!(help.lines().any(|line| line.trim_start().starts_with(new)), "{new}: {help}");
    }
    for earlier in ["lab", "fleet", "record"] {
        assert!(!help.lines().any(|line| line.trim_start().starts_with(earlier)), "{earlier}: {help}");
    }
    assert!(!run(&["cluster", "--help"]).1.contains("--door"));
}
