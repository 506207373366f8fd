//! Guards the answers at the operators' address: statuses, heads and bodies as bytes, the names and types of metrics, and
//! the keys of the fleet's state.

mod common;

use common::*;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};

struct Bed {
    node: RouterProcess,
    feed: StubFeed,
    endpoints: [StubEndpoint; 3],
}

/// Routers that know each other, and limits on lease.
const FLEET_SECTION: &str =
    "{fleet: {name: 'library', listen: '127.0.0.1:0', advertise: '127.0.0.1:9', limits: {}}}";

impl Bed {
    fn start(sections: &str) -> Bed {
        Bed::named("n1", sections)
    }

    fn named(name: &str, sections: &str) -> Bed {
        let feed = StubFeed::start();
        let data = StubBehavior::Data(b"some bytes".to_vec());
        let endpoints = [data.clone(), data.clone(), data].map(StubEndpoint::start);
        feed.publish_endpoints(true, &endpoint_lines(&endpoints));
        let config = config(feed.addr).replace("\"name\":\"n1\"", &format!("\"name\":\"{name}\""));
        let node = RouterProcess::with_config_and_operator_file(&with_admin_endpoint(&config), sections);
        let bed = Bed { node, feed, endpoints };
        wait_until("a yes", || (admin_call(bed.addr(), "GET /status").0 == 200).then_some(()));
        wait_until("the list", || {
            admin_call(bed.addr(), "GET /status/metrics").1.contains("svc.registry_entries=3\n").then_some(())
        });
        bed
    }

    fn addr(&self) -> SocketAddr {
        admin_address(&self.node)
    }

    /// All bytes of the answer to these.
    fn answer(&self, request: &str) -> String {
        let mut socket = TcpStream::connect(self.addr()).unwrap();
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        socket.write_all(request.as_bytes()).unwrap();
        let mut text = String::new();
        socket.read_to_string(&mut text).unwrap();
        text.replace("\r\n", "\\r\\n\n")
    }

    /// A call and its answer.
    fn told(&self, what: &str) -> String {
        format!("> {what}\n{}", self.answer(&format!("{what} HTTP/1.1\r\nHost: router\r\n\r\n")))
    }
}

#[test]
fn calls_and_errors_are_answered_with_the_same_bytes() {
    let bed = Bed::start("{}");
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
    insta::assert_snapshot!("calls", calls.map(|what| bed.told(what)).join("\n"));
}

#[test]
fn calls_that_are_no_calls_are_answered_with_the_same_bytes() {
    let bed = Bed::start("{}");
    let long = format!("GET /status HTTP/1.1\r\nLong: {}\r\n\r\n", "x".repeat(9_000));
    let requests = [
        ("garbage", "this is no call\r\n\r\n"),
        ("version", "GET /status HTTP/3.0\r\n\r\n"),
        ("transfer coding", "PUT /active HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"),
        ("two lengths", "PUT /active HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx"),
        ("long body", "PUT /active HTTP/1.1\r\nContent-Length: 5000\r\n\r\n"),
        ("long head", &long),
    ];
    let told = requests.map(|(name, request)| format!("> {name}\n{}", bed.answer(request)));
    insta::assert_snapshot!("errors", told.join("\n"));
}

/// A value's type stands for it.
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
    for (name, sections) in [("metrics", "{}"), ("metrics_with_fleet", FLEET_SECTION)] {
        let bed = Bed::start(sections);
        let mut client = Client::connect(bed.node.addr);
        assert!(client.get(1, "docs", 1, 7).contains("good"));
        let (status, text) = admin_call(bed.addr(), "GET /status/metrics");
        assert_eq!(status, 200);
        insta::assert_snapshot!(name, text.lines().map(masked_metric).collect::<Vec<_>>().join("\n"));
    }
}

/// A UDP address of the system's choice that is free again by now.
fn free_address() -> SocketAddr {
    UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Two routers that know each other; limits are on lease.
fn two_routers() -> [Bed; 2] {
    let addresses = [free_address(), free_address()];
    let seeds = addresses.map(|address| format!("'{address}'")).join(", ");
    ["n1", "n2"].map(|name| {
        let listen = addresses[usize::from(name == "n2")];
        let section = format!("name: 'library', listen: '{listen}', seeds: [{seeds}], limits: {{}}");
        Bed::named(name, &format!("{{fleet: {{{section}}}}}"))
    })
}

fn state(bed: &Bed, path: &str) -> Value {
    let (status, text) = admin_call(bed.addr(), &format!("GET {path}"));
    assert_eq!(status, 200);
    serde_json::from_str(&text).unwrap()
}

/// Numbers as their types; what differs from run to run is masked.
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

/// The state at a path, masked, once it shows what is waited for.
fn state_when(bed: &Bed, path: &str, shows: impl Fn(&Value) -> bool) -> String {
    let state = wait_until(path, || Some(state(bed, path)).filter(&shows));
    serde_json::to_string_pretty(&masked(&state)).unwrap()
}

#[test]
fn the_fleets_state_keeps_its_keys_and_types() {
    let [bed, _other] = two_routers();
    let settled = |state: &Value| {
        let other = &state["others"][0];
        let ready = [&state["own"], other].iter().all(|router| router["doing"] == "ready");
        let answered = !other["answered_s_ago"].is_null() && other["agrees"] == true;
        ready && answered && state["settled"] == true
    };
    insta::assert_snapshot!("fleet", state_when(&bed, "/status/fleet", settled));
}

/// Limits are those of servers that have started late and are asked.
#[test]
fn the_state_of_limits_keeps_its_keys_and_types() {
    let [bed, _other] = two_routers();
    let shared = |state: &Value| state["share_in_use"] == true;
    state_when(&bed, "/status/fleet/limits", shared);
    let cold = endpoint_line_started_at("s-a", bed.endpoints[0].addr, "std", "ready", unix_ms());
    bed.feed.publish_endpoints(false, &[cold]);
    let mut client = Client::connect(bed.node.addr);
    let mut tag = 0;
    let asked = |state: &Value| shared(state) && state["limits"].as_array().is_some_and(|all| all.len() == 1);
    let state = wait_until("a limit", || {
        tag += 1;
        client.get(tag, "docs", u64::from(tag), u64::from(tag));
        Some(state(&bed, "/status/fleet/limits")).filter(&asked)
    });
    insta::assert_snapshot!("fleet_limits", serde_json::to_string_pretty(&masked(&state)).unwrap());
}
