//! The command line: printed texts, and the exit codes that scripts check.

mod common;

use common::*;

fn run(args: &[&str]) -> (i32, String, String) {
    let path = temp_file("config.json", "");
    let output = hollymux_command(&path, args).stdout(std::process::Stdio::piped()).output().unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

#[test]
fn every_error_of_an_operators_file_is_reported_with_its_position() {
    let text = "{\n  dns: {\n    zone: 'a..b',\n    lisen: '127.0.0.1:5300',\n    follow: 'nowhere',\n  },\n  dsn: 1,\n}";
    let cluster_section = "{fleet: {name: '', listen: '0.0.0.0:7946', seeds: ['10.0.0.1:0'], answer_ms: 500, suspect_least_ms: 900}}";
    let path = temp_file("operator.json5", text);
    let (code, stdout, stderr) = run(&["check", path.to_str().unwrap()]);
    let stderr = stderr.replace(path.to_str().unwrap(), "FILE");
    assert_eq!((code, stdout.as_str()), (2, ""));
    insta::assert_snapshot!(stderr, @r"
    hollymux: FILE:3:11: dns.zone: is no domain name
    hollymux: FILE:4:12: dns.lisen: unknown field `lisen`, expected one of `zone`, `listen`, `follow`
    hollymux: FILE:5:13: dns.follow: invalid socket address syntax
    hollymux: FILE:7:8: dsn: unknown field `dsn`, expected one of `dns`, `record`, `fleet`
    ");
    let path = temp_file("operator.json5", cluster_section);
    let stderr = run(&["check", path.to_str().unwrap()]).2.replace(path.to_str().unwrap(), "FILE");
    insta::assert_snapshot!(stderr, @r"
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
    let (code, stdout, stderr) = run(&["check", path.to_str().unwrap()]);
    assert_eq!((code, stderr.as_str()), (0, ""));
    assert!(stdout.contains("\"follow\": null"), "{stdout}");
    let (code, schema, _) = run(&["check", "--schema"]);
    assert_eq!(code, 0);
    for field in ["dns", "zone", "listen", "follow", "additionalProperties"] {
        assert!(schema.contains(&format!("\"{field}\"")), "{field}: {schema}");
    }
    let shipped_file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.json5");
    assert_eq!(run(&["check", shipped_file]).0, 0);
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

/// Guards the fields of the log line by which an operator finds a request: its id, class, endpoint,
/// result and counts.
#[test]
fn a_request_can_be_followed_through_the_log_by_its_id() {
    let feed = StubFeed::start();
    let endpoint = StubEndpoint::start(StubBehavior::Data(b"bytes".to_vec()));
    let origin = StubEndpoint::start(StubBehavior::Data(b"bytes".to_vec()));
    let lines = [
        endpoint_line("s-a", endpoint.addr, "std", "ready"),
        endpoint_line("s-o", origin.addr, "origin", "ready"),
    ];
    feed.publish_endpoints(true, &lines);
    let router = RouterProcess::with_arguments(&feed, &["--log", "debug", "--log-format", "json"]);
    let mut client = Client::connect(router.addr);
    let mut tag = 0;
    wait_until("the router to know the endpoint list", || {
        tag += 1;
        let rid = 0x9b1f_03aa_5c7e_2d40 + u64::from(tag);
        client.get(tag, "docs", rid, 7).contains(" good ").then_some(())
    });
    let closed = wait_until("the log line of a served request", || {
        let line = router.wait_for_log("request closed");
        let event: serde_json::Value = serde_json::from_str(&line).unwrap();
        (event["result"] == "Served").then_some(event)
    });
    assert_eq!(closed["rid"], format!("{:016x}", 0x9b1f_03aa_5c7e_2d40 + u64::from(tag)));
    assert_eq!(closed["class"], "docs");
    assert_eq!(closed["endpoint"], "s-a");
    assert_eq!(closed["reason"], "Completed");
    assert_eq!((closed["bytes"].as_u64(), closed["attempts"].as_u64()), (Some(5), Some(1)));
}

/// Guards scripts that use the earlier names of sub-commands and options.
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
    for (earlier_name, new_name) in same_help {
        let help = run(new_name);
        assert_eq!(help.0, 0, "{new_name:?}: {}", help.2);
        assert_eq!(run(earlier_name), help, "{earlier_name:?} and {new_name:?}");
    }
    assert_eq!(run(&["lab", "schema"]), run(&["simulate", "schema"]));
    // Nothing listens at the address, so both names of the option lead to the same connection
    // error.
    let closed_address =
        std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    for command in [vec!["cluster"], vec!["cluster", "limits"]] {
        let run_with =
            |option: &str| run(&[&command[..1], &[option, &closed_address], &command[1..]].concat());
        let (code, stdout, stderr) = run_with("--admin");
        assert_eq!((code, stdout.as_str()), (1, ""));
        assert!(stderr.contains(&closed_address), "{stderr}");
        assert_eq!(run_with("--door"), (code, stdout, stderr));
    }
    let help = run(&["--help"]).1;
    for new_name in ["simulate", "cluster", "capture"] {
        assert!(help.lines().any(|line| line.trim_start().starts_with(new_name)), "{new_name}: {help}");
    }
    for earlier_name in ["lab", "fleet", "record"] {
        assert!(
            !help.lines().any(|line| line.trim_start().starts_with(earlier_name)),
            "{earlier_name}: {help}"
        );
    }
    assert!(!run(&["cluster", "--help"]).1.contains("--door"));
}
