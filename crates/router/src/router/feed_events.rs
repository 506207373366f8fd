//! What the control feed told: the list of members, and purges.

use super::*;

impl Router {
    pub(super) fn on_told(&mut self, now: Timestamp, told: FeedEvent, commands: &mut Vec<Command>) {
        match told {
            FeedEvent::Purge { object, group, at } => {
                let purge = Purge { since: now.saturating_duration_since(at), object, group };
                if self.follow.is_some() {
                    self.drive(now, RoutingMode::FollowHint, Event::Purged(purge.clone()), commands);
                }
                self.drive(now, RoutingMode::Decide, Event::Purged(purge), commands);
            }
            FeedEvent::Endpoints { is_full_list: all, endpoints: lines } => {
                if all {
                    let named: Vec<EndpointId> = lines.iter().map(|m| m.entry.id).collect();
                    for (id, (_, m)) in self.members.iter_mut().filter(|(id, _)| !named.contains(id)) {
                        m.entry.state = EndpointState::Gone;
                        commands.push(Command::CloseConnections(*id));
                    }
                }
                let mut entries = Vec::with_capacity(lines.len());
                for mut line in lines {
                    let id = line.entry.id;
                    // Whoever had the address of one that is ready now has gone, told or not.
                    let ready = line.entry.state == EndpointState::Ready && line.addr.is_some();
                    for (old, (_, m)) in self.members.iter_mut() {
                        if ready && *old != id && m.addr == line.addr && m.entry.state != EndpointState::Gone
                        {
                            m.entry.state = EndpointState::Gone;
                            entries.push(m.entry.clone());
                            commands.push(Command::CloseConnections(*old));
                        }
                    }
                    let old = self.members.get(&id).map(|m| &m.1);
                    if let Some(old) = old {
                        // A line that says less than the last one changes only what it says.
                        line.addr = line.addr.or(old.addr);
                        let moved = line.addr != old.addr || line.entry.started > old.entry.started;
                        match line.entry.state {
                            EndpointState::Gone => commands.push(Command::CloseConnections(id)),
                            EndpointState::Ready if moved => commands.push(Command::CloseConnections(id)),
                            EndpointState::Draining => commands.push(Command::StopSending(id)),
                            EndpointState::Ready => {}
                        }
                        if line.entry.state == EndpointState::Gone {
                            line.entry = EndpointEntry { state: EndpointState::Gone, ..old.entry.clone() };
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
                self.drive(now, RoutingMode::Decide, Event::EndpointList { kind, entries }, commands);
                let gone = |m: &(Rc<str>, ListedEndpoint)| m.1.entry.state == EndpointState::Gone;
                self.members.retain(|_, m| !gone(m));
                if self.tenants.len() > TENANTS {
                    self.tenants.retain(|_, id| self.members.contains_key(id));
                }
            }
        }
    }
}
