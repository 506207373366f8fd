//! The decisions of a small-site appliance, free of I/O and clock. `docs/appliance.md` has the options weighed and
//! the state machine; store, admin channel and console come on top of this.

pub mod membership;
