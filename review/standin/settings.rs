//! The section `settings` of small deployments.

/// A members' library: videos, pages and filings.
pub const LIBRARY: &str = r#"{"az":2,"groupSize":1,"tick":2000,"discovery":"push","weightSource":"nominal",
 "failureDomains":["north-hub","south-hub","office"],"models":["standard-box","parent","origin"],
 "classes":[
  {"name":"training-video","effect":"retryable","onTime":600000,"aimStretch":1.6,"hardLimit":5000000,
   "lateShare":0.15,"worth":2.0,"stream":false},
  {"name":"docs-pages","effect":"retryable","onTime":250000,"aimStretch":2.0,"hardLimit":2500000,
   "lateShare":0.2,"worth":1.0,"stream":false},
  {"name":"cert-filing","effect":"fragile","onTime":800000,"hardLimit":3000000,
   "lateShare":0.0,"worth":3.0,"stream":false}],
 "familyInfo":{"bypassAllowed":true,"classParts":[true,false,false],"classWrite":[false,false,true],
  "clearedWithin":6000000,"countByZone":[0,0,1],"flowKbPerS":2800.0,"maxAge":[0,8000000,0],
  "neighbours":"any","originFall":3000000,"originFallMultiple":2.5,"parentFallMultiple":2.0,
  "parentFloor":0.07,"purgeSlack":300000,"sharesFills":false,"shieldKind":1,"staleEarns":[0.7,0.5,0.7],
  "storeKind":2,"tells":"none","upperCold":18000000,"usableAfter":[0,30000000,0],"zoneHub":[0,1,0]},
 "limits":{"cancel":true,"dialTimeout":400000,"idleClose":30000000,"maxRetryAfter":1000000,"probes":true,
  "retryAfter":true,"secondCopies":false,"sendCap":6,"streamsPerConn":32},
 "rules":{"coldFrom":0.18,"drainGrace":500000,"graceToAnswer":8000,"overloadFactor":2.5,"tipAfter":1500000,
  "warmAfter":17000000}}"#;
