//! Plans for synthetic loads: properties that every plan must have, and inputs that are rejected.

use hollymux_capacity::confidence::Estimate;
use hollymux_capacity::replay::InitialCaches;
use hollymux_capacity::report::LossOutcome;
use hollymux_capacity::trace::{Chunk, ChunkId, RequestClass, Trace, TraceRequest};
use hollymux_capacity::{plan, CapacityPlan, Fleet, PlanError, PlanOptions};
use hollymux_capture::Recording;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const READ_CLASS: u8 = 0;
const WRITE_CLASS: u8 = 1;
/// Number of requests per write request.
const WRITE_INTERVAL: u64 = 40;

fn class(name: &str, objective_ms: u64, is_write: bool) -> RequestClass {
    RequestClass {
        name: name.into(),
        latency_objective_us: objective_ms * 1_000,
        latency_objective_stretch: 1.6,
        priority_weight: if is_write { 3.0 } else { 1.0 },
        late_weight: 0.1,
        is_write,
        clients_retry: !is_write,
        fresh_for_us: 0,
    }
}

fn chunk(object: u64, group: u8, class: u8, bytes: f32) -> Chunk {
    Chunk { object, index: 0, group, class, bytes, is_unusually_large: false }
}

/// Generates a load for two sites. Both sites request the first `shared` objects. A share
/// `local_share` of the first site's requests is for as many further objects that only it requests.
fn load(seconds: u64, requests_per_s: u64, shared: u64, local_share: f64) -> Trace {
    let mut rng = Pcg64Mcg::seed_from_u64(17);
    let mut trace = Trace {
        classes: vec![class("docs", 300, false), class("filing", 800, true)],
        sites: vec!["cairo".into(), "luxor".into()],
        router_count: 2,
        flow_bytes_per_s: 20_000.0,
        duration_us: seconds * 1_000_000,
        ..Trace::default()
    };
    for object in 0..2 * shared {
        let bytes = 3_000.0 + (object % 7) as f32 * 300.0;
        trace.chunks.push(chunk(object, (object % 256) as u8, READ_CLASS, bytes));
    }
    for number in 0..seconds * requests_per_s {
        let site = (number % 2) as u16;
        let is_local = site == 0 && rng.random::<f64>() < local_share;
        let rank = (shared as f64).powf(rng.random::<f64>()) as u64 - 1;
        let mut requested = ChunkId((rank + if is_local { shared } else { 0 }) as u32);
        if number % WRITE_INTERVAL == 0 {
            trace.chunks.push(chunk(1 << 40 | number, 0, WRITE_CLASS, 200.0));
            requested = ChunkId(trace.chunks.len() as u32 - 1);
        }
        trace.requests.push(TraceRequest {
            arrived_us: number * 1_000_000 / requests_per_s + rng.random_range(0..1_000),
            chunk: requested,
            site,
            router: site,
            session: number as u32,
            timeout_us: 2_500_000,
            latency_us: None,
        });
    }
    trace.requests.sort_by_key(|request| request.arrived_us);
    trace
}

/// Returns a fleet of two sites with `edge_caches` edge caches each behind one parent cache; links
/// are in flows.
fn fleet(edge_caches: usize, link_in: f64, parent_link: f64) -> Fleet {
    let site = |name: &str| {
        format!(
            "{{name: '{name}', hub: 'h', boxes: {edge_caches}, link_in_flows: {link_in}, \
             link_flows: 6, keep_bytes: 2e5}}"
        )
    };
    let text = format!(
        "{{offices: [{}, {}], hubs: [{{name: 'h', link_flows: {parent_link}, keep_bytes: 1e7}}],
          library: {{calls_per_s: 500}}}}",
        site("cairo"),
        site("luxor")
    );
    hollymux_config_file::read(&text).expect("the fleet file is valid")
}

fn make_plan(trace: &Trace, fleet: &Fleet, options: &PlanOptions) -> CapacityPlan {
    let capacity_plan = plan(trace, fleet, options).expect("the inputs are valid");
    let text = capacity_plan.text() + &capacity_plan.plot().expect("the plot is drawn");
    assert!(!text.contains("NaN") && !text.contains("inf"), "{text}");
    capacity_plan
}

fn value(estimate: Option<Estimate>) -> f64 {
    estimate.expect("the load is long enough for an estimate").value
}

fn scaled(scale: f64) -> PlanOptions {
    PlanOptions { scale, ..PlanOptions::default() }
}

#[test]
fn more_load_serves_less_and_more_edge_caches_serve_more() {
    let trace = load(120, 60, 400, 0.1);
    let sufficient = make_plan(&trace, &fleet(2, 12.0, 12.0), &PlanOptions::default());
    assert!(value(sufficient.in_time) > 0.95, "{}", sufficient.text());
    let in_time: Vec<f64> = sufficient.loads.iter().map(|outcome| value(outcome.in_time)).collect();
    assert!(in_time[0] > in_time[5] + 0.1, "{in_time:?}");
    let undersized = make_plan(&trace, &fleet(1, 12.0, 12.0), &scaled(2.0));
    assert!(value(undersized.in_time) < 0.9, "{}", undersized.text());
    let sizing = &undersized.sizing;
    let needed: usize =
        sizing.allocation.iter().flatten().map(|allocation| allocation.edge_caches).sum();
    assert!(needed > 2 && value(sizing.reaches) >= 0.95, "{sizing:?}");
    // A plan is reproducible: equal inputs give equal plans.
    let repeated = make_plan(&trace, &fleet(1, 12.0, 12.0), &scaled(2.0));
    assert_eq!(repeated.text(), undersized.text());
}

#[test]
fn the_scarce_resource_saturates_first_and_more_edge_caches_dont_relieve_an_inbound_link() {
    let trace = load(120, 60, 2_000, 0.1);
    let inbound = make_plan(&trace, &fleet(6, 1.5, 20.0), &PlanOptions::default());
    assert!(inbound.bottlenecks[0].resource.ends_with("link in"), "{}", inbound.text());
    let sizing = &inbound.sizing;
    let has_unreachable_site =
        sizing.requirements.iter().any(|requirement| requirement.edge_caches.is_none());
    assert!(sizing.allocation.is_none() && has_unreachable_site, "{sizing:?}");
    let parent = make_plan(&trace, &fleet(6, 30.0, 2.0), &PlanOptions::default());
    assert_eq!(parent.bottlenecks[0].resource, "h link out", "{}", parent.text());
}

#[test]
fn a_fleet_that_starts_empty_does_not_serve_more_than_a_warm_one() {
    // The load has two stable states: a warm fleet just carries it, and an empty fleet never warms
    // up under it.
    let trace = load(120, 60, 1_000, 0.1);
    let fleet = fleet(4, 6.0, 5.0);
    let warm = make_plan(&trace, &fleet, &scaled(1.6));
    let empty_options = PlanOptions { initial_caches: InitialCaches::Empty, ..scaled(1.6) };
    let empty = make_plan(&trace, &fleet, &empty_options);
    let difference = value(warm.in_time) - value(empty.in_time);
    assert!(difference >= -0.01, "{} {}", warm.text(), empty.text());
}

#[test]
fn losing_a_parent_cache_costs_more_than_losing_an_edge_cache() {
    let trace = load(160, 60, 1_500, 0.1);
    let losses = vec![vec!["h".into(), "cairo-1".into()]];
    let options = PlanOptions { losses, ..PlanOptions::default() };
    let capacity_plan = make_plan(&trace, &fleet(4, 12.0, 10.0), &options);
    let loss_of = |names: &[&str]| -> &LossOutcome {
        capacity_plan
            .losses
            .iter()
            .find(|loss| loss.endpoints == names)
            .expect("the loss is evaluated")
    };
    let (parent, edge_cache) = (loss_of(&["h"]), loss_of(&["cairo-1"]));
    let edge_cache_in_time = value(edge_cache.during_loss);
    assert!(value(parent.during_loss) < edge_cache_in_time - 0.05, "{}", capacity_plan.text());
    assert!(value(parent.without_loss) > 0.95 && parent.recovered_after_s.is_some());
    let both = loss_of(&["h", "cairo-1"]);
    assert!(value(both.during_loss) <= value(parent.during_loss) + 0.02);
}

/// Returns the object of each request, in ascending order.
fn requested_objects(trace: &Trace) -> Vec<u64> {
    let mut objects: Vec<u64> =
        trace.requests.iter().map(|request| trace.chunk_of(request).object).collect();
    objects.sort_unstable();
    objects
}

fn distinct_objects(trace: &Trace) -> usize {
    let mut objects = requested_objects(trace);
    objects.dedup();
    objects.len()
}

#[test]
fn local_objects_are_recognized_and_scaling_adds_new_ones_for_those_seen_once() {
    let trace = load(120, 60, 400, 0.8);
    let capacity_plan = make_plan(&trace, &fleet(3, 12.0, 12.0), &PlanOptions::default());
    let sites = &capacity_plan.sites;
    assert!(sites[0].local_share > 0.6 && sites[1].local_share < 0.6, "{sites:?}");
    // Twice the load has twice the requests. Its distinct objects grow by the number of objects
    // that were requested once.
    let doubled = trace.scaled(2.0, 3);
    assert_eq!(doubled.requests.len(), 2 * trace.requests.len());
    let objects = requested_objects(&trace);
    let requested_once =
        objects.chunk_by(|a, b| a == b).filter(|requests| requests.len() == 1).count();
    assert!(requested_once > 100);
    assert_eq!(distinct_objects(&doubled), distinct_objects(&trace) + requested_once);
    let halved = trace.scaled(0.5, 3).requests.len() as f64 / trace.requests.len() as f64;
    assert!((halved - 0.5).abs() < 0.03, "ratio of requests: {halved}");
}

#[test]
fn a_short_recording_gets_caveats_and_no_unsupported_results() {
    let trace = load(20, 3, 50, 0.0);
    let capacity_plan = make_plan(&trace, &fleet(3, 12.0, 12.0), &PlanOptions::default());
    let caveats = capacity_plan.quality.caveats.join("\n");
    assert!(caveats.contains("only 15 s") && caveats.contains("calm recording"), "{caveats}");
    assert!(
        caveats.contains("filing: 1 requests are too few")
            || caveats.contains("filing: 0 requests"),
        "{caveats}"
    );
    assert!(capacity_plan.classes[1].in_time.is_none());
    assert!(capacity_plan.losses.is_empty() && capacity_plan.is_metastable.is_none());
}

#[test]
fn invalid_options_and_recordings_are_rejected_with_a_message() {
    let (trace, fleet) = (load(30, 20, 50, 0.0), fleet(2, 12.0, 12.0));
    let defaults = PlanOptions::default;
    let plan_error = |trace: &Trace, options: PlanOptions| {
        plan(trace, &fleet, &options).unwrap_err().to_string()
    };
    let goal = |goal: f64| PlanOptions { goal, ..defaults() };
    assert!(plan_error(&trace, goal(1.0)).contains("below 100%"));
    assert!(plan_error(&trace, goal(f64::NAN)).contains("goal"));
    assert!(plan_error(&trace, scaled(0.0)).contains("scale"));
    assert!(plan_error(&trace, scaled(f64::INFINITY)).contains("scale"));
    let warm_up = PlanOptions { warm_up_s: Some(31.0), ..defaults() };
    assert!(plan_error(&trace, warm_up).contains("warm-up"));
    let unknown_loss = PlanOptions { losses: vec![vec!["giza-1".into()]], ..defaults() };
    assert!(plan_error(&trace, unknown_loss).contains("giza-1"));
    let nothing = plan(&Trace::default(), &fleet, &defaults());
    assert_eq!(nothing.unwrap_err(), PlanError::EmptyRecording);
    assert_eq!(Trace::new(&Recording::default()).unwrap_err(), PlanError::EmptyRecording);
    let mut unknown_site = trace.clone();
    unknown_site.sites[0] = "giza".into();
    assert!(plan_error(&unknown_site, defaults()).contains("giza"));
}
