//! Case 10: discovery answers each call after 3.5 s.

#[path = "../standin-2/common.rs"]
mod common;
use common::*;
use std::sync::atomic::Ordering;

const WAIT_MS: u32 = 3500;
/// What the feed has to tell counts as told this long after, at the latest, whether it arrived or not.
const TOLD_AT_LAST_MS: f64 = 7000.0;
/// `rules.drainGrace` and the 50 ms that each time limit is longer on sockets.
const GRACE_MS: f64 = 550.0;

fn main() {
    let trouble = begin();
    let asks = Asks::default();
    let feed = Feed::start();
    let shelfs = small_site(&asks, 120, 20_000, 40);
    feed.tell(&whole_list(&shelfs));
    if trouble {
        feed.wait_ms.store(WAIT_MS, Ordering::SeqCst);
    }
    let router = Router::start(&Settings::new(), feed.addr, &feed.known(), "router");
    router.wait_ready();
    let load = Load::start(router.listen, 4, 100);
    sleep_ms(6000);
    let told = feed.tell(&members(2, false, &[entry(&shelfs[0], "draining")])) + TOLD_AT_LAST_MS;
    sleep_ms(16_000);
    load.stop();
    note_log("router");
    let asks = asks.lock().unwrap();
    let drains = |uid: &str| uid == "s-1";
    let late: Vec<&Ask> = asks
        .iter()
        .filter(|ask| drains(&ask.uid) || ask.field("parent").is_some_and(|source| drains(&source)))
        .filter(|ask| ask.first > told + GRACE_MS)
        .collect();
    let last = late.last().map_or(0.0, |ask| ask.first - told);
    verdict(
        !late.is_empty(),
        &format!(
            "{} of {} requests went to a draining shelf, up to {last:.0} ms after it counted as told",
            late.len(),
            asks.len()
        ),
    )
}
