//! A scenario on real sockets, from the command line.

mod common;

use common::*;

#[test]
fn a_short_scenario_on_sockets_runs_to_its_end_and_is_reported() {
    let day = temp_file(
        "day.json5",
        "{seconds: 4, warm_s: 1, rate_per_s: 40, purges_per_s: 1, roster_lag_ms: 300,
          offices: [{name: 'a', hub: 'h', boxes: 2, routers: 1, link_in_flows: 30}],
          hubs: [{name: 'h', link_flows: 30}],
          faults: [{at_s: 2, for_s: 1, what: {crash: {who: 'a-1'}}}, {at_s: 1, for_s: 2, what: {cut: {who: 'h'}}}]}",
    );
    let dir = day.parent().unwrap().join("out");
    let recorded = day.parent().unwrap().join("load");
    let (day, out, load) = (day.to_str().unwrap(), dir.to_str().unwrap(), recorded.to_str().unwrap());
    let done = hollymux_command(
        std::path::Path::new(""),
        &["lab", "run", day, "--json", "--report", out, "--record", load],
    )
    .output()
    .unwrap();
    let report: serde_json::Value =
        serde_json::from_slice(&std::fs::read(dir.join("report.json")).unwrap()).unwrap();
    let asked: u64 = report["classes"].as_array().unwrap().iter().map(|c| c["asked"].as_u64().unwrap()).sum();
    assert!(asked > 40, "{report}");
    let worth = report["served_worth"].as_f64().unwrap();
    assert!((0.01..=1.0).contains(&worth), "{report}");
    let page = std::fs::read_to_string(dir.join("report.html")).unwrap();
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(std::fs::read_to_string(dir.join("n1.log")).unwrap().contains("listening on"));
    // A broken rule is exit code 1, and is in the report.
    let broken = report["broken"].as_object().unwrap().is_empty();
    assert_eq!(done.status.code(), Some(if broken { 0 } else { 1 }), "{report}");
    // The router's recording holds the requests that it received, and nothing is missing from it.
    let files: Vec<String> = std::fs::read_dir(&recorded)
        .unwrap()
        .map(|e| e.unwrap().path().to_str().unwrap().to_string())
        .collect();
    let mut args = vec!["record", "info", "--json"];
    args.extend(files.iter().map(String::as_str));
    let info = hollymux_command(std::path::Path::new(""), &args)
        .stdout(std::process::Stdio::piped())
        .output()
        .unwrap();
    let info: serde_json::Value = serde_json::from_slice(&info.stdout).unwrap();
    assert!(info["requests"].as_u64().unwrap() >= asked, "{info}");
    assert_eq!((&info["offices"][0], &info["dropped"]), (&"a".into(), &0.into()));
    assert!(
        info["member_lines"].as_u64().unwrap() >= 4 && info["boxes"]["s-a-2"].as_u64().unwrap() > 0,
        "{info}"
    );
}
