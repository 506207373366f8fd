//! DNS-based request routing: the sockets that answer queries, and the lookups of a router that
//! follows another one's answers. What queries and answers mean is defined in `hollymux-protocol`.

mod front;
mod lookups;

pub(crate) use front::DnsConnection;
pub(crate) use lookups::Resolver;
