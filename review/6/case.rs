//! Case 6: an operator drains the router while a client reads 1 MB a second.

#[path = "../standin-2/common.rs"]
mod common;
use common::*;

const READ_BYTES_PER_S: f64 = 1e6;
/// Videos that the client asks for at once; 32 may be open.
const VIDEOS: u64 = 8;
const OBJECT_BYTES: usize = 240_000;
/// Documents that it asks for meanwhile, one every 250 ms.
const DOCUMENTS: u64 = 14;
/// A request that crosses the close of its connection within 50 ms is sent again and not lost.
const CROSSING_MS: f64 = 50.0;

fn main() {
    let trouble = begin();
    let asks = Asks::default();
    let feed = Feed::start();
    let answer = |ask: &Ask| {
        let is_video = ask.field("profile").is_some_and(|class| class == "training-video");
        Answer::data(100, if is_video { OBJECT_BYTES } else { 5_000 })
    };
    let mut shelfs: Vec<Shelf> = (1..=4)
        .map(|n| Shelf::start(&format!("s-{n}"), "office", "standard-box", 40.0, &asks, answer))
        .collect();
    shelfs.push(Shelf::start("o-1", "north-hub", "origin", 100.0, &asks, answer));
    feed.tell(&whole_list(&shelfs));
    let mut settings = Settings::new();
    let operator = free_address();
    settings.operator = Some(operator);
    let router = Router::start(&settings, feed.addr, &feed.known(), "router");
    router.wait_ready();

    let pace = Some(READ_BYTES_PER_S);
    let mut client = Client::connect_slow(router.listen, pace).expect("the router accepts a client");
    let mut requests = Vec::new();
    for object in 0..VIDEOS {
        let (tag, _, _) = client.request("training-video", 5000, object, 3, b"");
        requests.push((tag, unix_ms()));
    }
    sleep_ms(300);
    if trouble {
        note(&format!("operator: PUT /standby: {}", call_operator(operator, "PUT", "/standby")));
    }
    for document in 0..DOCUMENTS {
        sleep_ms(250);
        // A client that has read to the end of its connection goes elsewhere.
        if client.ended.lock().unwrap().is_some() {
            break;
        }
        let (tag, _, _) = client.request("docs-pages", 2500, 100 + document, 3, b"");
        requests.push((tag, unix_ms()));
    }
    let is_open = |client: &Client| {
        client.ended.lock().unwrap().is_none()
            && requests.iter().any(|(tag, _)| client.replies_to(*tag).is_empty())
    };
    // The give-up time of the documents, and half a second.
    for _ in 0..30 {
        if !is_open(&client) {
            break;
        }
        sleep_ms(100);
    }
    note_log("router");
    let ended = *client.ended.lock().unwrap();
    let crosses = |sent: f64| ended.is_some_and(|ended| ended - sent <= CROSSING_MS);
    let unanswered = requests.iter().filter(|(tag, _)| client.replies_to(*tag).is_empty());
    let lost: Vec<&(u64, f64)> = unanswered.filter(|(_, sent)| !crosses(*sent)).collect();
    for (tag, sent) in &lost {
        note(&format!("lost: the request with tag {tag}, sent at {:.0} ms", since_start(*sent)));
    }
    verdict(
        !lost.is_empty(),
        &format!(
            "{} of {} requests lost; the connection ended at {:?} ms",
            lost.len(),
            requests.len(),
            ended.map(since_start)
        ),
    )
}
