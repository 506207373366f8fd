//! Case 7: a client that reads 1 MB a second has as many requests open as it may.

#[path = "../standin-2/common.rs"]
mod common;
use common::*;

/// The most that may be open on one connection; an object has 240,000 bytes at most.
const OPEN: usize = 32;
const OBJECT_BYTES: usize = 240_000;
const READ_BYTES_PER_S: f64 = 1e6;

fn main() {
    let trouble = begin();
    let asks = Asks::default();
    let feed = Feed::start();
    let shelfs = small_site(&asks, 150, OBJECT_BYTES, 300);
    feed.tell(&whole_list(&shelfs));
    let mut settings = Settings::new();
    settings.memory_mb = 32;
    let router = Router::start(&settings, feed.addr, &feed.known(), "router");
    router.wait_ready();

    let pace = trouble.then_some(READ_BYTES_PER_S);
    let mut client = Client::connect_slow(router.listen, pace).expect("the router accepts a client");
    let mut tags = Vec::new();
    for object in 0..OPEN as u64 {
        let is_last = object + 1 == OPEN as u64;
        let (tag, _, _) = match is_last {
            false => client.request("training-video", 5000, object, 3, b""),
            true => client.request("cert-filing", 3000, object, 3, b"certificate"),
        };
        tags.push(tag);
        sleep_ms(10);
    }
    // The longest deadline, what the client needs to read all of it, and some seconds more.
    for _ in 0..160 {
        let is_over = client.ended.lock().unwrap().is_some();
        if is_over || tags.iter().all(|tag| !client.replies_to(*tag).is_empty()) {
            break;
        }
        sleep_ms(100);
    }
    note_log("router");
    let unanswered: Vec<u64> =
        tags.iter().copied().filter(|tag| client.replies_to(*tag).is_empty()).collect();
    // An answer that was begun and could not be finished has failed and is not lost.
    let excused = usize::from(client.cut_off.load(std::sync::atomic::Ordering::SeqCst));
    let lost = unanswered.len().saturating_sub(excused);
    let ended = client.ended.lock().unwrap().map(since_start);
    note(&format!("unanswered tags: {unanswered:?}, one of them cut off: {excused}"));
    verdict(lost > 0, &format!("{lost} of {OPEN} requests lost; the connection ended at {ended:?} ms"))
}
