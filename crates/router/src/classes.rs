//! The request classes, by name and by number, across changes of the settings. The number of a
//! class is its slot in the decision module's table. A class that changes gets another slot; open
//! requests keep the slot in which they were accepted, with its deadline and idempotency. A slot is
//! reused once no open request and no attempt in flight refers to it.

use hollymux_decision::{Idempotency, RequestClass};
use std::collections::BTreeSet;

#[derive(Debug)]
struct Slot {
    name: String,
    idempotency: Idempotency,
    /// Whether new requests of that name are accepted in this slot.
    is_current: bool,
}

/// A class of the settings with its name.
#[derive(Clone, Debug)]
pub struct NamedClass {
    /// The name by which requests refer to the class.
    pub name: String,
    /// The objectives and rules of the class, for the decision module.
    pub class: RequestClass,
}

/// The slots of the request classes, including retired ones.
#[derive(Debug, Default)]
pub struct Classes {
    slots: Vec<Slot>,
}

/// The classes by slot after a change of the settings, for the decision module.
#[derive(Debug, PartialEq)]
pub struct ClassTable {
    /// The class in each slot, including retired classes.
    pub classes: Vec<RequestClass>,
    /// For each slot, the slot that held the class of the same name before the change and whose
    /// learnt state is kept; `None` for a class with a new name.
    pub from: Vec<Option<usize>>,
}

impl ClassTable {
    /// A table in which every slot keeps its class and its learnt state.
    fn unchanged(classes: &[RequestClass]) -> ClassTable {
        ClassTable { classes: classes.to_vec(), from: (0..classes.len()).map(Some).collect() }
    }
}

impl Classes {
    /// The slot in which new requests of a class are accepted. `None` if no current class has the
    /// name.
    pub fn slot_of(&self, name: &[u8]) -> Option<u16> {
        self.current_slot(|slot_name| slot_name == name)
    }

    /// Like [`Classes::slot_of`], with the name matched case-insensitively.
    pub fn slot_of_ignoring_case(&self, name: &[u8]) -> Option<u16> {
        self.current_slot(|slot_name| slot_name.eq_ignore_ascii_case(name))
    }

    /// The name of the class in a slot; empty if the slot doesn't exist.
    pub fn name(&self, class: u16) -> &str {
        self.slots.get(usize::from(class)).map_or("", |slot| &slot.name)
    }

    /// The names of the classes in all slots, including slots that accept no new requests.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.slots.iter().map(|slot| slot.name.as_str())
    }

    /// The idempotency of the class in a slot; not idempotent if the slot doesn't exist.
    pub fn idempotency(&self, class: u16) -> Idempotency {
        let slot = self.slots.get(usize::from(class));
        slot.map_or(Idempotency::NotIdempotent, |slot| slot.idempotency)
    }

    /// Replaces the current classes by those of new settings and returns the new table. `table`
    /// holds the present classes by slot, `in_use` the slots of open requests and attempts in
    /// flight.
    pub fn replace(
        &mut self,
        new_classes: Vec<NamedClass>,
        table: &[RequestClass],
        in_use: &BTreeSet<u16>,
    ) -> ClassTable {
        let mut new_table = ClassTable::unchanged(table);
        // A slot that was current until now is not overwritten in this change, because a class in
        // another slot may still inherit what was learnt in it.
        let previous_names: Vec<Option<String>> = self.slots.iter().map(current_name).collect();
        self.retire_changed(&new_classes, table);
        for NamedClass { name, class } in new_classes {
            if self.slot_of(name.as_bytes()).is_some() {
                continue;
            }
            let previous = previous_names.iter().position(|previous| previous.as_ref() == Some(&name));
            let free = self.free_slot(&previous_names, in_use);
            self.place(free, name, class, previous, &mut new_table);
        }
        new_table
    }

    /// The first current slot whose name satisfies the condition.
    fn current_slot(&self, has_name: impl Fn(&[u8]) -> bool) -> Option<u16> {
        let is_match = |slot: &Slot| slot.is_current && has_name(slot.name.as_bytes());
        let index = self.slots.iter().position(is_match)?;
        u16::try_from(index).ok()
    }

    /// Retires the slots whose class is missing from the new settings or differs there. An
    /// unchanged class keeps its slot.
    fn retire_changed(&mut self, new_classes: &[NamedClass], table: &[RequestClass]) {
        for (index, slot) in self.slots.iter_mut().enumerate() {
            let old_class = table.get(index);
            slot.is_current &=
                new_classes.iter().any(|new| new.name == slot.name && old_class == Some(&new.class));
        }
    }

    /// The first slot that can be overwritten: it is neither current nor in use, and was not
    /// current before this change. `None` if there is no such slot.
    fn free_slot(&self, previous_names: &[Option<String>], in_use: &BTreeSet<u16>) -> Option<usize> {
        let is_in_use = |index: usize| u16::try_from(index).is_ok_and(|slot| in_use.contains(&slot));
        let was_current = |index: usize| !previous_names.get(index).is_some_and(Option::is_none);
        (0..self.slots.len())
            .find(|index| !self.slots[*index].is_current && !is_in_use(*index) && !was_current(*index))
    }

    /// Puts a class into a free slot, or into a new one. It inherits what was learnt in the slot
    /// `previous`.
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

/// The name of a slot that accepts new requests; `None` for a retired slot.
fn current_name(slot: &Slot) -> Option<String> {
    slot.is_current.then(|| slot.name.clone())
}
