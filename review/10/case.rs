//! Case 10: a router that answers DNS queries is replaced.

#[path = "../standin-2/common.rs"]
mod common;
use common::*;

/// The new process has this long to say yes; after that, SIGTERM goes to the old one.
const YES_MS: f64 = 6000.0;

fn main() {
    let trouble = begin();
    let asks = Asks::default();
    let feed = Feed::start();
    let shelfs = small_site(&asks, 100, 20_000, 40);
    feed.tell(&whole_list(&shelfs));
    let operators_file = temporary("operator.json5");
    let dns = format!("{{ dns: {{ zone: \"route.members-library.example\", listen: \"{}\" }} }}\n", free_address());
    std::fs::write(&operators_file, dns).expect("an operator's file");
    let arguments = format!(" serve --operator {}", operators_file.display());

    let mut settings = Settings::new();
    settings.operator = Some(free_address());
    let path = temporary("old.json");
    std::fs::write(&path, settings.json(feed.addr, &feed.known())).expect("a configuration");
    let mut serving = Router::start_with(&settings, &path, "router", &arguments);
    serving.wait_ready();
    let load = Load::start(settings.listen, 4, 100);
    sleep_ms(2000);
    let mut exited = false;
    if trouble {
        settings.operator = Some(free_address());
        let path = temporary("new.json");
        std::fs::write(&path, settings.json(feed.addr, &feed.known())).expect("a configuration");
        let mut new = Router::start_with(&settings, &path, "router", &arguments);
        let says_yes = wait_yes(settings.operator.unwrap(), YES_MS);
        serving.signal("TERM");
        serving.ends_within(3700.0);
        exited = !says_yes && new.ends_within(100.0);
        serving = new;
    }
    sleep_ms(1000);
    let accepts = Client::connect(settings.listen).is_some();
    note(&format!("a client that connects now is accepted: {accepts}"));
    let runs = !serving.ends_within(10.0);
    load.stop();
    note_log("router");
    verdict(
        exited || !runs,
        &format!("the new process has exited by itself: {}; clients are accepted: {accepts}", exited || !runs),
    )
}
