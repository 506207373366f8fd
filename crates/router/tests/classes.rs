//! The slots of classes over any sequence of changes of the settings.

use hollymux_decision::{Idempotency, RequestClass};
use hollymux_router::classes::{Classes, NamedClass};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The names that the settings can have.
const NAMES: u8 = 6;

/// By the number of a name: the deadline in microseconds and whether the class is idempotent (0) or
/// not.
type ClassesByName = BTreeMap<u8, (u64, u8)>;

fn name(number: u8) -> String {
    format!("c{number}")
}

fn class(deadline_us: u64, idempotency: u8) -> RequestClass {
    RequestClass {
        deadline: Duration::from_micros(deadline_us),
        idempotency: if idempotency == 0 { Idempotency::Idempotent } else { Idempotency::NotIdempotent },
        ..RequestClass::default()
    }
}

fn named_classes(by_name: ClassesByName) -> Vec<NamedClass> {
    let named = |(number, (deadline_us, idempotency))| NamedClass {
        name: name(number),
        class: class(deadline_us, idempotency),
    };
    by_name.into_iter().map(named).collect()
}

fn changes() -> impl Strategy<Value = Vec<(ClassesByName, u16)>> {
    let classes = proptest::collection::btree_map(0..NAMES, (1u64..4, 0u8..2), 1..5);
    proptest::collection::vec((classes, any::<u16>()), 1..40)
}

/// The slots in use: those whose bit is set in the mask, which repeats every 16 slots.
fn slots_in_use(slots: usize, mask: u16) -> BTreeSet<u16> {
    (0..slots as u16).filter(|slot| mask >> (slot % 16) & 1 == 1).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against an open request whose class becomes another one, against a name that leads to
    /// other than its newest class, and against a table that grows with every change.
    #[test]
    fn slots_in_use_never_change_and_names_lead_to_their_newest_class(changes in changes()) {
        let mut classes = Classes::default();
        let mut table: Vec<RequestClass> = Vec::new();
        for (by_name, mask) in changes {
            let in_use = slots_in_use(table.len(), mask);
            let named = named_classes(by_name);
            let old_slots: Vec<(String, Option<u16>)> =
                (0..NAMES).map(name).map(|name| (name.clone(), classes.named(name.as_bytes()))).collect();
            let new = classes.replace(named.clone(), &table, &in_use);
            prop_assert_eq!(new.classes.len(), new.from.len());
            for slot in in_use.iter().map(|slot| usize::from(*slot)) {
                prop_assert_eq!(&new.classes[slot], &table[slot]);
                prop_assert_eq!(new.from[slot], Some(slot));
            }
            for (name, old_slot) in old_slots {
                let slot = classes.named(name.as_bytes());
                let newest = named.iter().find(|new| new.name == name).map(|new| &new.class);
                prop_assert_eq!(slot.map(|slot| &new.classes[usize::from(slot)]), newest);
                let idempotency = slot.map(|slot| classes.idempotency(slot));
                prop_assert_eq!(idempotency, newest.map(|class| class.idempotency));
                // What was learnt follows the name.
                if let (Some(slot), Some(old_slot)) = (slot, old_slot) {
                    prop_assert_eq!(new.from[usize::from(slot)], Some(usize::from(old_slot)));
                }
            }
            // The current slots, those that were current until now, and those in use.
            prop_assert!(new.classes.len() <= 6 + 6 + 6 + in_use.len().max(table.len()));
            table = new.classes;
        }
        prop_assert!(table.len() <= 40, "{} slots", table.len());
    }
}
