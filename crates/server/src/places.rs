//! Where each connection has its place in the driver: finding, taking and closing it, reading from it, writing to it.

use super::*;

pub(super) struct Place {
    pub(super) turn: u32,
    pub(super) role: Option<Role>,
}

impl Server {
    /// Hands on what a connection has to read, up to so many buffers in a row: none starves the others.
    pub(super) fn read_from<C, S: Read + Write>(
        &mut self,
        conn: &mut C,
        reads: usize,
        stream: fn(&mut C) -> &mut Stream<S>,
        mut hand: impl FnMut(&mut Server, &mut C, &[u8]) -> Fate,
    ) -> Fate {
        let mut scratch = std::mem::take(&mut self.scratch);
        scratch.resize(BUFFER, 0);
        let mut fate = Fate::Keep;
        for _ in 0..reads {
            match stream(conn).read(&mut scratch) {
                Ok(Some(0)) | Err(_) => fate = Fate::Close,
                Ok(Some(n)) => fate = hand(self, conn, &scratch[..n]),
                Ok(None) => break,
            }
            if fate != Fate::Keep {
                break;
            }
        }
        self.scratch = scratch;
        fate
    }

    /// Whoever is in his place.
    pub(super) fn roles(&self) -> impl Iterator<Item = (Key, &Role)> + '_ {
        let places = self.places.iter().enumerate();
        places.filter_map(|(i, p)| Some((u64::from(p.turn) << 32 | i as u64, p.role.as_ref()?)))
    }

    /// Who is at a key, to be looked at.
    pub(super) fn seen(&self, key: Key) -> Option<&Role> {
        let place = self.places.get((key & u64::from(u32::MAX)) as usize)?;
        place.role.as_ref().filter(|_| u64::from(place.turn) == key >> 32)
    }

    pub(super) fn place(&mut self, role: Role) -> io::Result<Key> {
        let index = self.free.pop().unwrap_or_else(|| {
            self.places.push(Place { turn: 0, role: None });
            (self.places.len() - 1) as u32
        });
        let place = &mut self.places[index as usize];
        let key = u64::from(place.turn) << 32 | u64::from(index);
        let flags = match &role {
            Role::Shelf(_) | Role::Feed(_) => EventFlags::IN | EventFlags::OUT,
            _ => EventFlags::IN,
        };
        let data = epoll::EventData::new_u64(key);
        if let Err(e) = epoll::add(&self.poll, fd(&role), data, flags) {
            self.free.push(index);
            return Err(e.into());
        }
        place.role = Some(role);
        Ok(key)
    }

    pub(super) fn at(&mut self, key: Key) -> Option<&mut Place> {
        let place = self.places.get_mut((key & u64::from(u32::MAX)) as usize)?;
        Some(place).filter(|p| u64::from(p.turn) == key >> 32)
    }

    pub(super) fn role(&mut self, key: Key) -> Option<&mut Role> {
        self.at(key)?.role.as_mut()
    }

    pub(super) fn take(&mut self, key: Key) -> Option<Role> {
        self.at(key)?.role.take()
    }

    pub(super) fn put_back(&mut self, key: Key, role: Role, fate: Fate) {
        if let Some(place) = self.at(key) {
            place.role = Some(role);
        }
        match fate {
            Fate::Keep => {}
            Fate::Close => self.close(key),
            Fate::QuotaShare => self.part(key),
        }
    }

    /// Closes a connection and tells whom it concerns.
    pub(super) fn close(&mut self, key: Key) {
        let Some(place) = self.at(key) else { return };
        let Some(role) = place.role.take() else { return };
        place.turn = place.turn.wrapping_add(1);
        self.free.push((key & u64::from(u32::MAX)) as u32);
        let _gone = epoll::delete(&self.poll, fd(&role));
        match role {
            Role::Client(_) => {
                self.clients -= 1;
                self.withdraw_all(key);
            }
            Role::Shelf(s) => self.shelf_closed(key, s),
            Role::Feed(_) => self.feed_closed(),
            Role::DnsConn(_) => self.clients -= 1,
            Role::Listener(_) | Role::Signal(..) => {}
            Role::DnsListener(_) | Role::DnsUdp(_) | Role::Resolver(_) => {}
            Role::DoorListener(_) => self.door = None,
            Role::DoorConn(_) | Role::Meeting(_) | Role::Fleet(_) => {}
            Role::Heir(_) => self.heir_closed(),
            Role::Forebear(_) => self.forebear_closed(),
        }
    }

    /// Writes what waits, as far as the socket takes it, and asks to be told when it takes more.
    pub(super) fn flush(&mut self, key: Key, stream: &mut Stream, out: &mut BufferChain) -> Fate {
        match stream.write(out, self.now) {
            Ok(all) => {
                self.wait_for(key, stream, !all);
                Fate::Keep
            }
            Err(_) => Fate::Close,
        }
    }

    /// Asks to be told when a socket takes more, or no longer.
    pub(super) fn wait_for<S: AsFd>(&mut self, key: Key, stream: &mut Stream<S>, more: bool) {
        if stream.waiting != more {
            stream.waiting = more;
            let flags = if more { EventFlags::IN | EventFlags::OUT } else { EventFlags::IN };
            let _told = epoll::modify(&self.poll, &stream.socket, epoll::EventData::new_u64(key), flags);
        }
    }
}

pub(super) fn fd(role: &Role) -> rustix::fd::BorrowedFd<'_> {
    match role {
        Role::Listener(l) => l.as_fd(),
        Role::Signal(s, _) => s.as_fd(),
        Role::Client(c) => c.stream.socket.as_fd(),
        Role::Shelf(s) => s.stream.socket.as_fd(),
        Role::Feed(f) => f.stream.socket.as_fd(),
        Role::DnsUdp(s) | Role::Resolver(s) | Role::Fleet(s) => s.as_fd(),
        Role::DnsListener(l) | Role::DoorListener(l) => l.as_fd(),
        Role::DoorConn(c) => c.stream.socket.as_fd(),
        Role::Meeting(l) => l.as_fd(),
        Role::Heir(p) | Role::Forebear(p) => p.stream.socket.as_fd(),
        Role::DnsConn(c) => c.stream.socket.as_fd(),
    }
}
