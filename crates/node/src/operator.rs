//! The operator's file: what is on beyond the platform's protocol. Without it, nothing of this is.

use hollymux_settings::{Check, Faults};
use hollymux_wire::dns;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What an operator has switched on. A section that is absent is off.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// DNS-based request routing.
    pub dns: Option<Dns>,
}

/// The DNS front, and following another's answers.
#[derive(Clone, Debug, Default, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Dns {
    /// The zone whose names are requests and boxes.
    pub zone: String,
    /// Where queries are answered, over UDP and TCP. Default: queries are not answered.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// A server whose answers this router follows instead of deciding itself. Default: it decides.
    #[serde(default)]
    pub follow: Option<SocketAddr>,
}

impl Dns {
    /// The zone as labels; empty if it is no name, which the check of the file rules out.
    pub fn name(&self) -> dns::Name {
        dns::name(&self.zone).unwrap_or_default()
    }
}

impl Check for Operator {
    fn check(&self, faults: &mut Faults) {
        if let Some(d) = &self.dns {
            faults.unless(dns::name(&d.zone).is_some(), "dns.zone", "is no domain name");
            let some = d.listen.is_some() || d.follow.is_some();
            faults.unless(some, "dns", "neither listen nor follow is given");
        }
    }
}
