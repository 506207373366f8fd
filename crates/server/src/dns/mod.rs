//! DNS-based request routing: the sockets that answer queries, and the lookups of a router that
//! follows another router's DNS answers. The names and records are defined in `hollymux-protocol`.

mod front;
mod lookups;

pub(crate) use front::DnsConnection;
pub(crate) use lookups::Resolver;
