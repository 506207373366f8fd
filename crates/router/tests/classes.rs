//! Property test of the class slots over any sequence of changes of the settings.

use hollymux_decision::{Idempotency, RequestClass};
use hollymux_router::classes::{Classes, NamedClass};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of distinct class names that the settings can use.
const CLASS_NAME_COUNT: u8 = 6;

/// The classes of one version of the settings, by the number of their name. Each has a deadline in
/// microseconds, and 0 if it is idempotent or 1 if it is not.
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
    let classes = proptest::collection::btree_map(0..CLASS_NAME_COUNT, (1u64..4, 0u8..2), 1..5);
    proptest::collection::vec((classes, any::<u16>()), 1..40)
}

/// The slots in use, which are those whose bit is set in the mask. The mask repeats every 16 slots.
fn slots_in_use(slots: usize, mask: u16) -> BTreeSet<u16> {
    (0..slots as u16).filter(|slot| mask >> (slot % 16) & 1 == 1).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a change of the settings that gives an open request another class, a name
    /// that resolves to an outdated class, and a table that grows with every change.
    #[test]
    fn slots_in_use_never_change_and_names_lead_to_their_newest_class(changes in changes()) {
        let mut classes = Classes::default();
        let mut table: Vec<RequestClass> = Vec::new();
        for (by_name, mask) in changes {
            let in_use = slots_in_use(table.len(), mask);
            let named = named_classes(by_name);
            let old_slots: Vec<(String, Option<u16>)> = (0..CLASS_NAME_COUNT)
                .map(name)
                .map(|name| (name.clone(), classes.slot_of(name.as_bytes())))
                .collect();
            let new = classes.replace(named.clone(), &table, &in_use);
            prop_assert_eq!(new.classes.len(), new.from.len());
            for slot in in_use.iter().map(|slot| usize::from(*slot)) {
                prop_assert_eq!(&new.classes[slot], &table[slot]);
                prop_assert_eq!(new.from[slot], Some(slot));
            }
            for (name, old_slot) in old_slots {
                let slot = classes.slot_of(name.as_bytes());
                let newest = named.iter().find(|new| new.name == name).map(|new| &new.class);
                prop_assert_eq!(slot.map(|slot| &new.classes[usize::from(slot)]), newest);
                let idempotency = slot.map(|slot| classes.idempotency(slot));
                prop_assert_eq!(idempotency, newest.map(|class| class.idempotency));
                // A class takes what was learnt from the previous slot of its name.
                if let (Some(slot), Some(old_slot)) = (slot, old_slot) {
                    prop_assert_eq!(new.from[usize::from(slot)], Some(usize::from(old_slot)));
                }
            }
            // The table holds at most the current slots, the slots that were current before, and
            // those in use.
            prop_assert!(new.classes.len() <= 6 + 6 + 6 + in_use.len().max(table.len()));
            table = new.classes;
        }
        prop_assert!(table.len() <= 40, "{} slots", table.len());
    }
}
