//! What the control feed told: the list of members, and purges.

use super::*;

impl Router {
    pub(super) fn on_told(&mut self, now: Timestamp, told: Told, commands: &mut Vec<Command>) {
        match told {
            Told::Purge { object, group, at } => {
                let purge = Purge { since: now.saturating_duration_since(at), object, group };
                if self.follow.is_some() {
                    self.drive(now, Mind::Follow, Event::Purged(purge.clone()), commands);
                }
                self.drive(now, Mind::Module, Event::Purged(purge), commands);
            }
            Told::Members { all, lines } => {
                if all {
                    let named: Vec<HostId> = lines.iter().map(|m| m.entry.id).collect();
                    for (id, (_, m)) in self.members.iter_mut().filter(|(id, _)| !named.contains(id)) {
                        m.entry.state = HostState::Gone;
                        commands.push(Command::Drop(*id));
                    }
                }
                let mut entries = Vec::with_capacity(lines.len());
                for mut line in lines {
                    let id = line.entry.id;
                    // Whoever had the address of one that is ready now has gone, told or not.
                    let ready = line.entry.state == HostState::Ready && line.addr.is_some();
                    for (old, (_, m)) in self.members.iter_mut() {
                        if ready && *old != id && m.addr == line.addr && m.entry.state != HostState::Gone {
                            m.entry.state = HostState::Gone;
                            entries.push(m.entry.clone());
                            commands.push(Command::Drop(*old));
                        }
                    }
                    let old = self.members.get(&id).map(|m| &m.1);
                    if let Some(old) = old {
                        // A line that says less than the last one changes only what it says.
                        line.addr = line.addr.or(old.addr);
                        let moved = line.addr != old.addr || line.entry.started > old.entry.started;
                        match line.entry.state {
                            HostState::Gone => commands.push(Command::Drop(id)),
                            HostState::Ready if moved => commands.push(Command::Drop(id)),
                            HostState::Draining => commands.push(Command::Hold(id)),
                            HostState::Ready => {}
                        }
                        if line.entry.state == HostState::Gone {
                            line.entry = HostEntry { state: HostState::Gone, ..old.entry.clone() };
                        }
                    }
                    if let Some(addr) = line.addr.filter(|_| ready) {
                        let before = self.tenants.insert(addr, id);
                        line.entry.in_place_of = before.filter(|b| *b != id);
                    }
                    entries.push(line.entry.clone());
                    self.members.insert(id, (Rc::from(line.uid.as_str()), line));
                }
                let kind = if all { ListKind::Full } else { ListKind::Delta };
                self.drive(now, Mind::Module, Event::Hosts { kind, entries }, commands);
                let gone = |m: &(Rc<str>, Member)| m.1.entry.state == HostState::Gone;
                self.members.retain(|_, m| !gone(m));
                if self.tenants.len() > TENANTS {
                    self.tenants.retain(|_, id| self.members.contains_key(id));
                }
            }
        }
    }
}
