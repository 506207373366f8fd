//! The classes of requests, by name and by number, over changes of the settings. A class is a slot in the module's
//! table. One that changes gets a new slot, and requests under way keep the one that they were taken in, with its
//! deadline and effect; a slot is used again when no request or attempt holds it.

use hollymux_decision::{Idempotency, RequestClass};
use std::collections::BTreeSet;

#[derive(Debug)]
struct Slot {
    name: String,
    idempotency: Idempotency,
    /// New requests of that name are taken in it.
    live: bool,
}

/// The slots.
#[derive(Debug, Default)]
pub struct Classes(Vec<Slot>);

/// A table of classes by slot, and for each slot the one from which it takes what was learnt.
#[derive(Debug, PartialEq)]
pub struct ClassTable {
    /// The classes.
    pub classes: Vec<RequestClass>,
    /// For each, the earlier slot of its name.
    pub from: Vec<Option<usize>>,
}

impl Classes {
    /// The class that new requests of a name are taken in.
    pub fn named(&self, name: &[u8]) -> Option<u16> {
        self.find(|n| n == name)
    }

    /// The same, by a name in any case.
    pub fn named_in_any_case(&self, name: &[u8]) -> Option<u16> {
        self.find(|n| n.eq_ignore_ascii_case(name))
    }

    fn find(&self, is: impl Fn(&[u8]) -> bool) -> Option<u16> {
        let at = self.0.iter().position(|s| s.live && is(s.name.as_bytes()))?;
        u16::try_from(at).ok()
    }

    /// The name of a slot's class.
    pub fn name(&self, class: u16) -> &str {
        self.0.get(usize::from(class)).map_or("", |s| &s.name)
    }

    /// The names of all slots.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(|s| s.name.as_str())
    }

    /// How far the class of a slot may be repeated; what has no slot may not.
    pub fn idempotency(&self, class: u16) -> Idempotency {
        self.0.get(usize::from(class)).map_or(Idempotency::NotIdempotent, |s| s.idempotency)
    }

    /// Takes classes by name in the place of those that are named now. `table` has the slots' present classes, `held`
    /// the slots that requests or attempts hold.
    pub fn replace(
        &mut self,
        named: Vec<(String, RequestClass)>,
        table: &[RequestClass],
        held: &BTreeSet<u16>,
    ) -> ClassTable {
        let mut classes = table.to_vec();
        let mut from: Vec<Option<usize>> = (0..classes.len()).map(Some).collect();
        let before: Vec<Option<String>> = self.0.iter().map(|s| s.live.then(|| s.name.clone())).collect();
        // What stays as it is keeps its slot; all others are free for those that come, as soon as nothing holds them.
        for (i, slot) in self.0.iter_mut().enumerate() {
            slot.live &= named.iter().any(|(n, c)| *n == slot.name && classes.get(i) == Some(c));
        }
        for (name, class) in named {
            if self.named(name.as_bytes()).is_some() {
                continue;
            }
            let old = before.iter().position(|n| n.as_deref() == Some(name.as_str()));
            // A slot whose name was live until now is not overwritten at once: another may still take what it learnt.
            let free = |i: &usize| {
                let held = u16::try_from(*i).is_ok_and(|c| held.contains(&c));
                !self.0[*i].live && !held && before.get(*i).is_some_and(Option::is_none)
            };
            let slot = Slot { name, idempotency: class.idempotency, live: true };
            match (0..self.0.len()).find(free) {
                Some(i) => (self.0[i], classes[i], from[i]) = (slot, class, old),
                None => {
                    self.0.push(slot);
                    classes.push(class);
                    from.push(old);
                }
            }
        }
        ClassTable { classes, from }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::time::Duration;

    fn class(deadline: u64, idempotency: u8) -> RequestClass {
        let idempotency = if idempotency == 0 { Idempotency::Idempotent } else { Idempotency::NotIdempotent };
        RequestClass { deadline: Duration::from_micros(deadline), idempotency, ..RequestClass::default() }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

        /// Guards against a request under way whose class becomes another one, against a name that leads to other
        /// than its newest class, and against a table that grows with every change.
        #[test]
        fn slots_that_are_held_never_change_and_names_lead_to_the_newest(
            changes in proptest::collection::vec(
                (proptest::collection::btree_map(0u8..6, (1u64..4, 0u8..2), 1..5), any::<u16>()), 1..40)) {
            let mut classes = Classes::default();
            let mut table: Vec<RequestClass> = Vec::new();
            for (named, mask) in changes {
                let held: BTreeSet<u16> = (0..table.len() as u16).filter(|i| mask >> (i % 16) & 1 == 1).collect();
                let named: Vec<(String, RequestClass)> =
                    named.into_iter().map(|(n, (d, e))| (format!("c{n}"), class(d, e))).collect();
                let old: Vec<(String, Option<u16>)> =
                    (0..6).map(|n| format!("c{n}")).map(|n| (n.clone(), classes.named(n.as_bytes()))).collect();
                let new = classes.replace(named.clone(), &table, &held);
                prop_assert_eq!(new.classes.len(), new.from.len());
                for h in &held {
                    prop_assert_eq!(&new.classes[usize::from(*h)], &table[usize::from(*h)]);
                    prop_assert_eq!(new.from[usize::from(*h)], Some(usize::from(*h)));
                }
                for (name, was) in old {
                    let now = classes.named(name.as_bytes());
                    let wanted = named.iter().find(|(n, _)| *n == name).map(|(_, c)| c);
                    prop_assert_eq!(now.map(|c| &new.classes[usize::from(c)]), wanted);
                    prop_assert_eq!(now.map(|c| classes.idempotency(c)), wanted.map(|c| c.idempotency));
                    // What was learnt follows the name.
                    if let (Some(now), Some(was)) = (now, was) {
                        prop_assert_eq!(new.from[usize::from(now)], Some(usize::from(was)));
                    }
                }
                // The live ones, those that were live until now, and what requests hold.
                prop_assert!(new.classes.len() <= 6 + 6 + 6 + held.len().max(table.len()));
                table = new.classes;
            }
            prop_assert!(table.len() <= 40, "{} slots", table.len());
        }
    }
}
