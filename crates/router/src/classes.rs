//! The classes of requests, by name and by number, across changes of the settings. The number of a
//! class is a slot in the decision module's table. A class that changes gets another slot; open
//! requests keep the slot that they were accepted in, with its deadline and idempotency. A slot is
//! used again when no request or attempt needs it.

use hollymux_decision::{Idempotency, RequestClass};
use std::collections::BTreeSet;

#[derive(Debug)]
struct Slot {
    name: String,
    idempotency: Idempotency,
    /// New requests of that name are accepted in it.
    is_current: bool,
}

/// A class of the settings, with its name.
#[derive(Clone, Debug)]
pub struct NamedClass {
    /// The name, by which requests ask for it.
    pub name: String,
    /// The class.
    pub class: RequestClass,
}

/// The slots of the classes.
#[derive(Debug, Default)]
pub struct Classes {
    slots: Vec<Slot>,
}

/// The table of classes by slot, for the decision module.
#[derive(Debug, PartialEq)]
pub struct ClassTable {
    /// The class in each slot.
    pub classes: Vec<RequestClass>,
    /// For each slot, the earlier slot of the same name: what was learnt there is kept.
    pub from: Vec<Option<usize>>,
}

impl ClassTable {
    /// A table in which no slot has changed.
    fn unchanged(classes: &[RequestClass]) -> ClassTable {
        ClassTable { classes: classes.to_vec(), from: (0..classes.len()).map(Some).collect() }
    }
}

impl Classes {
    /// The slot in which new requests of a class are accepted, by its name.
    pub fn named(&self, name: &[u8]) -> Option<u16> {
        self.current_slot(|slot_name| slot_name == name)
    }

    /// The same, by a name in upper or lower case.
    pub fn named_in_any_case(&self, name: &[u8]) -> Option<u16> {
        self.current_slot(|slot_name| slot_name.eq_ignore_ascii_case(name))
    }

    /// The name of the class in a slot; empty if there is no such slot.
    pub fn name(&self, class: u16) -> &str {
        self.slots.get(usize::from(class)).map_or("", |slot| &slot.name)
    }

    /// The names of all slots, also of those that accept no new requests.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.slots.iter().map(|slot| slot.name.as_str())
    }

    /// The idempotency of the class in a slot; not idempotent if there is no such slot.
    pub fn idempotency(&self, class: u16) -> Idempotency {
        let slot = self.slots.get(usize::from(class));
        slot.map_or(Idempotency::NotIdempotent, |slot| slot.idempotency)
    }

    /// Replaces the classes by others. `table` has the present classes by
    /// slot, `in_use` the slots of open requests and attempts in flight.
    pub fn replace(
        &mut self,
        new_classes: Vec<NamedClass>,
        table: &[RequestClass],
        in_use: &BTreeSet<u16>,
    ) -> ClassTable {
        let mut new_table = ClassTable::unchanged(table);
        // A slot that was current until now is not overwritten at once: another one may still take
        // what was learnt there.
        let previous_names: Vec<Option<String>> = self.slots.iter().map(current_name).collect();
        self.retire_changed(&new_classes, table);
        for NamedClass { name, class } in new_classes {
            if self.named(name.as_bytes()).is_some() {
                continue;
            }
            let previous = previous_names.iter().position(|previous| previous.as_ref() == Some(&name));
            let free = self.free_slot(&previous_names, in_use);
            self.place(free, name, class, previous, &mut new_table);
        }
        new_table
    }

    fn current_slot(&self, has_name: impl Fn(&[u8]) -> bool) -> Option<u16> {
        let is_match = |slot: &Slot| slot.is_current && has_name(slot.name.as_bytes());
        let index = self.slots.iter().position(is_match)?;
        u16::try_from(index).ok()
    }

    /// A class that is the same under the new settings keeps its slot; the other slots accept
    /// nothing new.
    fn retire_changed(&mut self, new_classes: &[NamedClass], table: &[RequestClass]) {
        for (index, slot) in self.slots.iter_mut().enumerate() {
            let old_class = table.get(index);
            slot.is_current &=
                new_classes.iter().any(|new| new.name == slot.name && old_class == Some(&new.class));
        }
    }

    /// A slot that can be overwritten.
    fn free_slot(&self, previous_names: &[Option<String>], in_use: &BTreeSet<u16>) -> Option<usize> {
        let is_in_use = |index: usize| u16::try_from(index).is_ok_and(|slot| in_use.contains(&slot));
        let was_current = |index: usize| !previous_names.get(index).is_some_and(Option::is_none);
        (0..self.slots.len())
            .find(|index| !self.slots[*index].is_current && !is_in_use(*index) && !was_current(*index))
    }

    /// Puts a class into a free slot, or into a new one.
    fn place(
        &mut self,
        free: Option<usize>,
        name: String,
        class: RequestClass,
        previous: Option<usize>,
        table: &mut ClassTable,
    ) {
        let slot = Slot { name, idempotency: class.idempotency, is_current: true };
        match free {
            Some(index) => {
                self.slots[index] = slot;
                table.classes[index] = class;
                table.from[index] = previous;
            }
            None => {
                self.slots.push(slot);
                table.classes.push(class);
                table.from.push(previous);
            }
        }
    }
}

fn current_name(slot: &Slot) -> Option<String> {
    slot.is_current.then(|| slot.name.clone())
}
