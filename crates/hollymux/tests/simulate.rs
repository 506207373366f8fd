//! `hollymux simulate run` with a short scenario on sockets.

mod common;

use common::*;

#[test]
fn a_short_scenario_on_sockets_runs_to_its_end_and_is_reported() {
    let scenario = temp_file(
        "day.json5",
        "{seconds: 4, warm_s: 1, rate_per_s: 40, purges_per_s: 1, roster_lag_ms: 300,
          offices: [{name: 'a', hub: 'h', boxes: 2, routers: 1, link_in_flows: 30}],
          hubs: [{name: 'h', link_flows: 30}],
          faults: [{at_s: 2, for_s: 1, what: {crash: {who: 'a-1'}}}, {at_s: 1, for_s: 2, what: {cut: {who: 'h'}}}]}",
    );
    let dir = scenario.parent().unwrap().join("out");
    let recordings = scenario.parent().unwrap().join("load");
    let (scenario, out, load) =
        (scenario.to_str().unwrap(), dir.to_str().unwrap(), recordings.to_str().unwrap());
    let output = hollymux_command(
        std::path::Path::new(""),
        &["lab", "run", scenario, "--json", "--report", out, "--record", load],
    )
    .output()
    .unwrap();
    let report: serde_json::Value =
        serde_json::from_slice(&std::fs::read(dir.join("report.json")).unwrap()).unwrap();
    let requests: u64 =
        report["classes"].as_array().unwrap().iter().map(|class| class["asked"].as_u64().unwrap()).sum();
    assert!(requests > 40, "{report}");
    let served_weight = report["served_worth"].as_f64().unwrap();
    assert!((0.01..=1.0).contains(&served_weight), "{report}");
    let html = std::fs::read_to_string(dir.join("report.html")).unwrap();
    assert_eq!(html.matches("<svg").count(), 2);
    assert!(std::fs::read_to_string(dir.join("n1.log")).unwrap().contains("listening on"));
    // A violated invariant gives exit code 1 and is in the report.
    let no_violations = report["broken"].as_object().unwrap().is_empty();
    assert_eq!(output.status.code(), Some(if no_violations { 0 } else { 1 }), "{report}");
    // The router's recording holds all requests that it received, without losses.
    let files: Vec<String> = std::fs::read_dir(&recordings)
        .unwrap()
        .map(|entry| entry.unwrap().path().to_str().unwrap().to_string())
        .collect();
    let mut args = vec!["record", "info", "--json"];
    args.extend(files.iter().map(String::as_str));
    let info = hollymux_command(std::path::Path::new(""), &args)
        .stdout(std::process::Stdio::piped())
        .output()
        .unwrap();
    let info: serde_json::Value = serde_json::from_slice(&info.stdout).unwrap();
    assert!(info["requests"].as_u64().unwrap() >= requests, "{info}");
    assert_eq!((&info["offices"][0], &info["dropped"]), (&"a".into(), &0.into()));
    assert!(
        info["member_lines"].as_u64().unwrap() >= 4 && info["boxes"]["s-a-2"].as_u64().unwrap() > 0,
        "{info}"
    );
}
