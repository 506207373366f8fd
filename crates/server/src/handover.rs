//! Replacement by another process: the meeting place, and both ends of a handover.
//!
//! The new process calls the old one at a socket in `$TMPDIR` and gets the listening socket itself with what rules rest
//! on and what was learnt. It catches up with the control feed, says `Take`, and takes new connections once the old
//! one has said `Yours`. Whatever fails on the way leaves the old one serving, or the new one starting from nothing.

use super::*;
use hollymux_protocol::handover::{HandoverMessage, HandoverReader};
use hollymux_router::handover_state::HandoverState;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, SocketAddrUnix,
};
use std::io::{IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::unix::net::UnixListener;
use std::path::Path;

/// The old process answers within this, or the new one starts from nothing. A process has 6 s for its yes: this, the
/// wait for the control feed and the last answer are well within.
const ANSWER: Duration = Duration::from_millis(1_500);
/// So long the old process may take for its last word; after that both take connections until it ends.
const YOURS: Duration = Duration::from_secs(1);
/// The control feed has told all that it had when nothing more has come for this long.
const QUIET: Duration = Duration::from_millis(100);
/// A new process that has not taken over after this long is held to be lost.
const LATE: Duration = Duration::from_secs(15);
/// What may wait to be written to the new process beyond its legacy: it can't be reading any more.
const OUT_MOST: usize = 32 << 20;

/// Where processes for that address of clients meet; none: nowhere.
pub(super) fn meeting(listen: SocketAddr) -> Option<PathBuf> {
    let dir = std::env::var_os("TMPDIR").filter(|d| !d.is_empty() && listen.port() != 0)?;
    Some(PathBuf::from(dir).join(format!("hollymux-{}-{}.sock", listen.ip(), listen.port())))
}

/// What the old process gave.
pub(super) struct Heritage {
    pub(super) listener: TcpListener,
    pub(super) legacy: Option<Box<HandoverState>>,
    socket: UnixStream,
    reader: HandoverReader,
}

/// Calls the process that serves that address, if there is one. An error says why it could not be asked.
pub(super) fn call(path: &Path, listen: SocketAddr) -> Result<Option<Heritage>, String> {
    if !path.exists() {
        return Ok(None);
    }
    let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
    let socket =
        socket_with(AddressFamily::UNIX, SocketType::STREAM, flags, None).map_err(|e| e.to_string())?;
    let addr = SocketAddrUnix::new(path).map_err(|e| e.to_string())?;
    match connect(&socket, &addr) {
        Ok(()) => {}
        // Whoever made it has gone.
        Err(rustix::io::Errno::CONNREFUSED | rustix::io::Errno::NOENT) => return Ok(None),
        Err(e) => return Err(format!("it can't be called: {e}")),
    }
    let peer = sockopt::socket_peercred(&socket).map_err(|e| e.to_string())?;
    if peer.uid != rustix::process::getuid() {
        return Err("another user's process answers".into());
    }
    let mut socket = UnixStream::from(socket);
    let until = Instant::now() + ANSWER;
    socket.set_nonblocking(false).map_err(|e| e.to_string())?;
    socket.set_write_timeout(Some(ANSWER)).map_err(|e| e.to_string())?;
    socket
        .write_all(&HandoverMessage::Hello(listen.to_string()).encode())
        .map_err(|e| format!("it hangs: {e}"))?;
    let (mut reader, mut listener, mut bytes) = (HandoverReader::default(), None, vec![0; 1 << 16]);
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("it does not answer".into());
        }
        socket.set_read_timeout(Some(left)).map_err(|e| e.to_string())?;
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut into = [IoSliceMut::new(&mut bytes)];
        let got = match recvmsg(&socket, &mut into, &mut control, RecvFlags::CMSG_CLOEXEC) {
            Ok(got) if got.bytes == 0 => return Err("it ended the call".into()),
            Ok(got) => got.bytes,
            Err(rustix::io::Errno::INTR) => continue,
            Err(rustix::io::Errno::AGAIN) => return Err("it does not answer".into()),
            Err(e) => return Err(format!("it can't be heard: {e}")),
        };
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(sockets) = message {
                listener = listener.or(sockets.last());
            }
        }
        reader.feed(&bytes[..got]);
        match reader.next_message().map_err(|e| e.to_string())? {
            Some(HandoverMessage::State(legacy)) => {
                let listener = TcpListener::from(listener.ok_or("it gave no listening socket")?);
                if listener.local_addr().ok() != Some(listen) {
                    return Err("its listening socket is for another address".into());
                }
                socket.set_nonblocking(true).map_err(|e| e.to_string())?;
                return Ok(Some(Heritage { listener, legacy, socket, reader }));
            }
            Some(HandoverMessage::Declined) => return Err("it is handing over to another process".into()),
            Some(_) => return Err("it says what it can't mean".into()),
            None => {}
        }
    }
}

/// The other end of a handover: the process that takes over, or the one that gives.
pub(super) struct Peer {
    pub(super) stream: Stream<UnixStream>,
    reader: HandoverReader,
    out: Vec<u8>,
    /// The listening socket goes with the next byte.
    gives: bool,
    /// `Hello` was heard.
    greeted: bool,
    since: Timestamp,
    /// `Take` was said.
    took: bool,
}

impl Peer {
    fn new(socket: UnixStream, reader: HandoverReader, now: Timestamp) -> Peer {
        Peer {
            stream: Stream::new(socket, now),
            reader,
            out: Vec::new(),
            gives: false,
            greeted: false,
            since: now,
            took: false,
        }
    }
}

impl Server {
    /// Takes what the old process gave: its list at once, what it learnt when the control feed has been heard.
    pub(super) fn inherit(&mut self, heritage: Heritage) -> io::Result<TcpListener> {
        let Heritage { listener, legacy, socket, reader } = heritage;
        if let Some(legacy) = &legacy {
            let told = legacy.told(&self.config.names.zones, &self.config.names.kinds);
            self.tell(told);
            self.settle();
        }
        info!(
            "replacing the process that serves this address{}",
            match &legacy {
                Some(l) => format!(": {} members, {} filings", l.endpoints.len(), l.pending_writes.len()),
                None => ": it is of another version, only its listening socket is taken over".into(),
            }
        );
        self.legacy = legacy;
        let peer = Peer::new(socket, reader, self.now);
        self.forebear = Some(self.place(Role::Forebear(peer))?);
        self.share();
        Ok(listener)
    }

    /// Both processes together keep the limits.
    fn share(&mut self) {
        let shared = self.heir.is_some() || self.forebear.is_some();
        self.shared = shared;
        self.router.share(shared);
        self.pool.limit(pool_most(&self.config) / if shared { 2 } else { 1 });
    }

    /// Descriptors that this process may hold.
    pub(super) fn sockets(&self) -> usize {
        if self.shared {
            self.config.sockets / 2
        } else {
            self.config.sockets
        }
    }

    /// Opens the place where a process that replaces this one finds it. What is there from before makes way.
    pub(super) fn open_meeting(&mut self) {
        let Some(path) = meeting(self.config.listen).filter(|_| self.meeting.is_none()) else { return };
        // Made under another name and moved there: nobody finds a socket at which nobody listens.
        let new = path.with_extension(format!("{}", std::process::id()));
        let _stale = std::fs::remove_file(&new);
        let opened = UnixListener::bind(&new).and_then(|listener| {
            listener.set_nonblocking(true)?;
            std::fs::rename(&new, &path)?;
            self.place(Role::Meeting(listener))
        });
        match opened {
            Ok(key) => self.meeting = Some(key),
            Err(e) => info!("another process can't take over from this one: {e}"),
        }
    }

    pub(super) fn on_meeting(&mut self, listener: &mut UnixListener) -> Fate {
        while let Ok((mut socket, _)) = listener.accept() {
            let ready = socket.set_nonblocking(true).is_ok();
            if self.heir.is_some() || !ready || !self.lifecycle.accepts(self.now) {
                let _told = socket.write(&HandoverMessage::Declined.encode());
                continue;
            }
            self.heir = self.place(Role::Heir(Peer::new(socket, HandoverReader::default(), self.now))).ok();
        }
        Fate::Keep
    }

    /// The old process hears the new one.
    pub(super) fn on_heir(&mut self, key: Key, peer: &mut Peer, flags: EventFlags) -> Fate {
        self.on_peer(key, peer, flags, |driver, peer, message| match message {
            HandoverMessage::Hello(_) if !peer.greeted => {
                peer.greeted = true;
                driver.share();
                let mut legacy = driver.router.legacy();
                legacy.zones.clone_from(&driver.config.names.zones);
                legacy.kinds.clone_from(&driver.config.names.kinds);
                peer.gives = true;
                peer.out.extend(HandoverMessage::State(Some(Box::new(legacy))).encode());
                info!("another process takes over");
                true
            }
            HandoverMessage::TakeOver if peer.greeted => {
                peer.took = true;
                driver.live(Event::Replaced);
                let since = driver.router.take_new_pending_writes();
                peer.out.extend(HandoverMessage::PendingWrites(since).encode());
                if let Some((start, incarnation)) = driver.fleet_give() {
                    peer.out.extend(HandoverMessage::ClusterIncarnation { start, incarnation }.encode());
                }
                peer.out.extend(HandoverMessage::Released.encode());
                true
            }
            _ => false,
        })
    }

    /// The new process hears the old one.
    pub(super) fn on_forebear(&mut self, key: Key, peer: &mut Peer, flags: EventFlags) -> Fate {
        self.on_peer(key, peer, flags, |driver, _, message| match message {
            HandoverMessage::PendingWrites(filings) => {
                driver.router.restore_pending_writes(driver.now, &filings);
                true
            }
            HandoverMessage::ClusterIncarnation { start, incarnation } => {
                driver.fleet_inherit(start, incarnation);
                true
            }
            HandoverMessage::Released => {
                driver.began();
                true
            }
            _ => false,
        })
    }

    fn on_peer(
        &mut self,
        key: Key,
        peer: &mut Peer,
        flags: EventFlags,
        hear: fn(&mut Server, &mut Peer, HandoverMessage) -> bool,
    ) -> Fate {
        if flags.intersects(EventFlags::IN | EventFlags::HUP | EventFlags::ERR) {
            let hand = |driver: &mut Server, peer: &mut Peer, bytes: &[u8]| {
                peer.reader.feed(bytes);
                loop {
                    let message = match peer.reader.next_message() {
                        Ok(None) => return Fate::Keep,
                        message => message.ok().flatten(),
                    };
                    if !message.is_some_and(|m| hear(driver, peer, m)) {
                        warn!("the other process says what it can't mean");
                        return Fate::Close;
                    }
                }
            };
            if self.read_from(peer, READS, |p| &mut p.stream, hand) == Fate::Close {
                return Fate::Close;
            }
        }
        self.flush_peer(key, peer)
    }

    fn flush_peer(&mut self, key: Key, peer: &mut Peer) -> Fate {
        while !peer.out.is_empty() {
            let sent =
                if peer.gives { self.send_listener(peer) } else { peer.stream.socket.write(&peer.out) };
            match sent {
                Ok(0) => return Fate::Close,
                Ok(n) => {
                    peer.gives = false;
                    peer.out.drain(..n);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Fate::Close,
            }
        }
        self.wait_for(key, &mut peer.stream, !peer.out.is_empty());
        if peer.out.len() > OUT_MOST {
            Fate::Close
        } else {
            Fate::Keep
        }
    }

    fn send_listener(&self, peer: &Peer) -> io::Result<usize> {
        let Some(Role::Listener(listener)) = self.seen(self.listener) else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let given = [listener.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(&given));
        Ok(sendmsg(&peer.stream.socket, &[IoSlice::new(&peer.out)], &mut control, SendFlags::NOSIGNAL)?)
    }

    /// Tells the new process of filings that came here since.
    pub(super) fn tell_heir(&mut self) {
        let Some(key) = self.heir else { return };
        if !matches!(self.seen(key), Some(Role::Heir(p)) if p.took) {
            return;
        }
        let filings = self.router.take_new_pending_writes();
        if filings.is_empty() {
            return;
        }
        if let Some(Role::Heir(mut peer)) = self.take(key) {
            peer.out.extend(HandoverMessage::PendingWrites(filings).encode());
            let fate = self.flush_peer(key, &mut peer);
            self.put_back(key, Role::Heir(peer), fate);
        }
    }

    /// The new process is gone: what was handed over is this one's again, unless it is ending.
    pub(super) fn heir_closed(&mut self) {
        self.heir = None;
        self.router.stop_tracking_pending_writes();
        self.share();
        self.live(Event::Alone);
        // It had put its own meeting place where this one's was.
        if let Some(key) = self.meeting.take() {
            self.close(key);
        }
        if self.lifecycle.accepts(self.now) {
            self.open_meeting();
        }
    }

    /// The old process is gone.
    pub(super) fn forebear_closed(&mut self) {
        self.forebear = None;
        self.share();
        info!("the process that was replaced has ended");
        self.began();
    }

    pub(super) fn heir_round(&mut self, peer: &Peer) -> Fate {
        if !peer.took && self.now > peer.since + LATE {
            Fate::Close
        } else {
            Fate::Keep
        }
    }

    /// Everything that is needed to serve is there, or was waited for long enough. A process that replaces another
    /// waits until the control feed has told all that it had, and then asks for the connections.
    pub(super) fn begin(&mut self, waited: bool) {
        if self.lifecycle.phase() != Phase::Starting {
            return;
        }
        let Some(key) = self.forebear else { return self.began() };
        if !waited && self.now < self.feed_told + QUIET {
            return self.wheel.set(self.feed_told + QUIET, Timer::Quiet);
        }
        let Some(Role::Forebear(mut peer)) = self.take(key) else { return };
        if !peer.took {
            peer.took = true;
            peer.out.extend(HandoverMessage::TakeOver.encode());
            self.wheel.set(self.now + YOURS, Timer::Yours);
        }
        let fate = self.flush_peer(key, &mut peer);
        self.put_back(key, Role::Forebear(peer), fate);
    }

    /// It serves from now on.
    pub(super) fn began(&mut self) {
        if self.lifecycle.phase() == Phase::Starting {
            if let Some(legacy) = self.legacy.take() {
                let drained = legacy.drained(&self.config.names.zones, &self.config.names.kinds);
                self.tell(drained);
                self.settle();
                self.router.restore(self.now, &legacy);
            }
            self.live(Event::Began);
            self.open_meeting();
        }
    }
}
