//! Byte-exact responses of the admin endpoint: status lines, headers and bodies, the names and
//! types of metrics, and the keys of the cluster's state. They guard the interface of operators'
//! tools against changes.

mod common;

use common::reserved_address::free_udp_address;
use common::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

struct Setup {
    router: RouterProcess,
    feed: StubFeed,
    endpoints: [StubEndpoint; 3],
}

/// An operator's file with a cluster section and leased quotas.
const CLUSTER_SECTION: &str =
    "{fleet: {name: 'library', listen: '127.0.0.1:0', advertise: '127.0.0.1:9', limits: {}}}";

impl Setup {
    fn start(sections: &str) -> Setup {
        Setup::named("n1", sections)
    }

    fn named(name: &str, sections: &str) -> Setup {
        let feed = StubFeed::start();
        let data = StubBehavior::Data(b"some bytes".to_vec());
        let endpoints = [data.clone(), data.clone(), data].map(StubEndpoint::start);
        feed.publish_endpoints(true, &endpoint_lines(&endpoints));
        let config = config(feed.addr).replace("\"name\":\"n1\"", &format!("\"name\":\"{name}\""));
        let router = RouterProcess::with_config_and_operator_file(&with_admin_endpoint(&config), sections);
        let setup = Setup { router, feed, endpoints };
        wait_until("the router to be ready", || {
            (admin_call(setup.addr(), "GET /status").0 == 200).then_some(())
        });
        wait_until("the router to know the endpoint list", || {
            admin_call(setup.addr(), "GET /status/metrics")
                .1
                .contains("svc.registry_entries=3\n")
                .then_some(())
        });
        setup
    }

    fn addr(&self) -> SocketAddr {
        admin_address(&self.router)
    }

    /// Sends the bytes of a request and returns all bytes of the response.
    fn response_to(&self, request: &str) -> String {
        let mut socket = TcpStream::connect(self.addr()).unwrap();
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        socket.write_all(request.as_bytes()).unwrap();
        let mut text = String::new();
        socket.read_to_string(&mut text).unwrap();
        text.replace("\r\n", "\\r\\n\n")
    }

    /// Sends a call without a body and returns it with its response.
    fn call(&self, call: &str) -> String {
        format!("> {call}\n{}", self.response_to(&format!("{call} HTTP/1.1\r\nHost: router\r\n\r\n")))
    }
}

#[test]
fn calls_get_the_same_responses() {
    let setup = Setup::start("{}");
    let calls = [
        "GET /status",
        "HEAD /status",
        "PUT /standby",
        "GET /status",
        "PUT /standby",
        "PUT /active",
        "GET /status",
        "PUT /active",
        "GET /nothing",
        "GET /",
        "GET /standby",
        "GET /active",
        "PUT /status",
        "POST /status/metrics",
        "DELETE /standby",
        "GET /status/fleet",
        "GET /status/fleet/limits",
    ];
    insta::assert_snapshot!("calls", calls.map(|call| setup.call(call)).join("\n"));
}

#[test]
fn invalid_calls_get_the_same_error_responses() {
    let setup = Setup::start("{}");
    let long = format!("GET /status HTTP/1.1\r\nLong: {}\r\n\r\n", "x".repeat(9_000));
    let requests = [
        ("garbage", "this is no call\r\n\r\n"),
        ("version", "GET /status HTTP/3.0\r\n\r\n"),
        ("transfer coding", "PUT /active HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"),
        ("two lengths", "PUT /active HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx"),
        ("long body", "PUT /active HTTP/1.1\r\nContent-Length: 5000\r\n\r\n"),
        ("long head", &long),
    ];
    let responses = requests.map(|(name, request)| format!("> {name}\n{}", setup.response_to(request)));
    insta::assert_snapshot!("errors", responses.join("\n"));
}

/// Replaces the value of a metric by its type.
fn masked_metric(line: &str) -> String {
    let Some((name, value)) = line.split_once('=') else { return format!("no metric: {line}") };
    let kind = match value {
        integer if integer.parse::<u64>().is_ok() => "integer",
        decimal if decimal.parse::<f64>().is_ok() => "decimal",
        word => word,
    };
    format!("{name}={kind}")
}

#[test]
fn metrics_keep_their_names_order_and_types() {
    for (name, sections) in [("metrics", "{}"), ("metrics_with_fleet", CLUSTER_SECTION)] {
        let setup = Setup::start(sections);
        let mut client = Client::connect(setup.router.addr);
        assert!(client.get(1, "docs", 1, 7).contains("good"));
        let (status, text) = admin_call(setup.addr(), "GET /status/metrics");
        assert_eq!(status, 200);
        insta::assert_snapshot!(name, text.lines().map(masked_metric).collect::<Vec<_>>().join("\n"));
    }
}

/// Starts two routers that know each other and lease quotas.
fn two_routers() -> [Setup; 2] {
    let addresses = [free_udp_address(), free_udp_address()];
    let seeds = addresses.map(|address| format!("'{address}'")).join(", ");
    ["n1", "n2"].map(|name| {
        let listen = addresses[usize::from(name == "n2")];
        let section = format!("name: 'library', listen: '{listen}', seeds: [{seeds}], limits: {{}}");
        Setup::named(name, &format!("{{fleet: {{{section}}}}}"))
    })
}

fn state(setup: &Setup, path: &str) -> Value {
    let (status, text) = admin_call(setup.addr(), &format!("GET {path}"));
    assert_eq!(status, 200);
    serde_json::from_str(&text).unwrap()
}

/// Replaces numbers by their types, and masks the strings that differ between runs.
fn masked(value: &Value) -> Value {
    match value {
        Value::Number(number) if number.is_f64() => json!("DECIMAL"),
        Value::Number(_) => json!("INTEGER"),
        Value::Array(elements) => elements.iter().map(masked).collect(),
        Value::Object(members) => {
            let member = |(key, value): (&String, &Value)| match key.as_str() {
                "digest" | "address" | "broker" => (key.clone(), json!(key.to_uppercase())),
                _ => (key.clone(), masked(value)),
            };
            Value::Object(members.iter().map(member).collect())
        }
        plain => plain.clone(),
    }
}

/// Waits until the state at `path` fulfils `condition`, and returns it masked.
fn state_when(setup: &Setup, path: &str, condition: impl Fn(&Value) -> bool) -> String {
    let state = wait_until(path, || Some(state(setup, path)).filter(&condition));
    serde_json::to_string_pretty(&masked(&state)).unwrap()
}

#[test]
fn the_clusters_state_keeps_its_keys_and_types() {
    let [setup, _other] = two_routers();
    let converged = |state: &Value| {
        let other = &state["others"][0];
        let ready = [&state["own"], other].iter().all(|router| router["doing"] == "ready");
        let answered = !other["answered_s_ago"].is_null() && other["agrees"] == true;
        ready && answered && state["settled"] == true
    };
    insta::assert_snapshot!("fleet", state_when(&setup, "/status/fleet", converged));
}

/// Only limits of endpoints that started recently and get requests are listed, so the test starts
/// such an endpoint.
#[test]
fn the_state_of_limits_keeps_its_keys_and_types() {
    let [setup, _other] = two_routers();
    let share_in_use = |state: &Value| state["share_in_use"] == true;
    state_when(&setup, "/status/fleet/limits", share_in_use);
    let cold = endpoint_line_started_at("s-a", setup.endpoints[0].addr, "std", "ready", unix_ms());
    setup.feed.publish_endpoints(false, &[cold]);
    let mut client = Client::connect(setup.router.addr);
    let mut tag = 0;
    let has_one_limit =
        |state: &Value| share_in_use(state) && state["limits"].as_array().is_some_and(|all| all.len() == 1);
    let state = wait_until("a limit in use", || {
        tag += 1;
        client.get(tag, "docs", u64::from(tag), u64::from(tag));
        Some(state(&setup, "/status/fleet/limits")).filter(&has_one_limit)
    });
    insta::assert_snapshot!("fleet_limits", serde_json::to_string_pretty(&masked(&state)).unwrap());
}
