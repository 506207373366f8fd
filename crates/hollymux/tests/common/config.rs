//! Configuration files of routers under test.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// Settings in the platform's form, with a class of idempotent reads and a class of non-idempotent
/// requests.
pub const SETTINGS: &str = r#"{"az":0,"groupSize":1,"failureDomains":["here","hub"],
 "models":["std","parent","origin"],"weightSource":"nominal","discovery":"push",
 "classes":[
  {"name":"docs","effect":"retryable","onTime":250000,"hardLimit":2500000,"worth":1.0,"aimStretch":2.0},
  {"name":"cert-filing","effect":"fragile","onTime":800000,"hardLimit":3000000,"worth":3.0}],
 "familyInfo":{"classWrite":[false,true],"maxAge":[8000000,0],"usableAfter":[30000000,0],
  "staleEarns":[0.5,0.7],"shieldKind":1,"storeKind":2,"bypassAllowed":true,"neighbours":"any","tells":"none",
  "purgeSlack":300000,"clearedWithin":6000000,"flowKbPerS":2800.0,"countByZone":[1,0]},
 "limits":{"cancel":true,"sendCap":6,"secondCopies":false,"retryAfter":true,"maxRetryAfter":1000000,
  "dialTimeout":400000,"idleClose":30000000,"streamsPerConn":32},
 "rules":{"drainGrace":500000,"graceToAnswer":8000,"coldFrom":0.18,"warmAfter":17000000,
  "overloadFactor":2.5,"tipAfter":1500000}}"#;

/// Writes a file to a new directory of its own and returns the file's path.
pub fn temp_file(name: &str, text: &str) -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let dir = std::env::temp_dir().join(format!("hollymux-test-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    std::fs::write(dir.join(name), text).unwrap();
    dir.join(name)
}

/// A configuration that listens at a port chosen by the system and watches the given endpoint feed.
pub fn config(feed: SocketAddr) -> String {
    format!(
        "{{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"feed\":\"{feed}\",\
         \"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\
         \"known\":{{\"n\":0,\"events\":[]}},\"settings\":{SETTINGS}}}"
    )
}

/// Adds an admin endpoint to a configuration, at a port chosen by the system.
pub fn with_admin_endpoint(config: &str) -> String {
    config.replacen('{', "{\"operator\":\"127.0.0.1:0\",", 1)
}
