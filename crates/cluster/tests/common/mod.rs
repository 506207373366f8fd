//! Helpers that several tests share.

// Each test crate uses a part of these helpers only.
#![allow(dead_code, unused_imports, unused_macros)]

use std::net::SocketAddr;

/// The address of a router.
pub fn addr(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i as u8], 7_946))
}

/// States are the same if all that they hold reads the same.
macro_rules! by_text {
    ($state:ty) => {
        impl PartialEq for $state {
            fn eq(&self, other: &$state) -> bool {
                format!("{self:?}") == format!("{other:?}")
            }
        }
        impl std::hash::Hash for $state {
            fn hash<H: std::hash::Hasher>(&self, hasher: &mut H) {
                format!("{self:?}").hash(hasher);
            }
        }
    };
}
pub(crate) use by_text;
