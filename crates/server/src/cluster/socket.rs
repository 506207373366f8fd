//! The socket and the timer of the cluster: receiving, sending and calling the protocols when they
//! are due.

use super::ClusterMember;
use crate::event_loop::{ConnectionAction, ConnectionKind, ConnectionToken, Timer};
use crate::Server;
use hollymux_cluster::quota::QuotaManager;
use hollymux_cluster::{Transmit, MAX_DATAGRAM_LEN};
use hollymux_decision::time::MICROSECOND;
use hollymux_decision::Timestamp;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use tracing::{debug, info};

/// Maximum number of datagrams received, and sent, for one event, so that clients are not delayed.
const MAX_DATAGRAMS_PER_EVENT: usize = 64;
/// Size of the receive buffer, in bytes. It exceeds the longest accepted datagram by one, so that a
/// longer one is recognised.
const RECEIVE_BUFFER_BYTES: usize = MAX_DATAGRAM_LEN + 1;

impl ClusterMember {
    /// The next datagram to send; those of the membership protocol go first. `None` if none is
    /// queued.
    fn poll_transmit(&mut self) -> Option<Transmit> {
        self.membership.poll_transmit().or_else(|| self.quotas.as_mut()?.poll_transmit())
    }

    /// Sends up to [`MAX_DATAGRAMS_PER_EVENT`] datagrams. Returns whether more may be queued.
    fn transmit(&mut self, socket: &UdpSocket) -> bool {
        for _ in 0..MAX_DATAGRAMS_PER_EVENT {
            let Some(transmit) = self.poll_transmit() else { return false };
            if socket.send_to(&transmit.payload, transmit.destination).is_err() {
                self.unsent_datagrams += 1;
            }
        }
        true
    }

    /// Logs the changes of the membership since the last call. Returns whether there were any.
    fn log_changes(&mut self) -> bool {
        let mut has_changed = false;
        while let Some(change) = self.membership.poll_change() {
            has_changed = true;
            super::change_log::log_change(&change);
        }
        has_changed
    }

    /// The earliest time at which the membership or quota protocol must be called.
    fn next_timeout(&self) -> Timestamp {
        let quotas = self.quotas.as_ref().map_or(u64::MAX, QuotaManager::next_timeout);
        Timestamp::from_micros(quotas.min(self.membership.next_timeout()))
    }
}

impl Server {
    /// Opens the cluster socket and joins the cluster, if the cluster is configured and the socket
    /// is not open. If the address can't be bound yet, housekeeping tries again: the router serves
    /// without it, and until then limits are divided by the configured number of routers.
    pub(crate) fn open_cluster_socket(&mut self) {
        let Some(cluster) = self.cluster.as_ref().filter(|cluster| cluster.socket.is_none()) else { return };
        let address = cluster.section.listen;
        match self.bind_cluster_socket(address) {
            Ok(token) => {
                if let Some(cluster) = &mut self.cluster {
                    cluster.join(token, &self.config, self.now);
                }
                self.on_cluster_timer();
            }
            Err(error) => debug!(%address, %error, "cluster socket can't listen yet"),
        }
    }

    fn bind_cluster_socket(&mut self, address: SocketAddr) -> io::Result<ConnectionToken> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let bound = socket.local_addr()?;
        let token = self.insert(ConnectionKind::Cluster(socket))?;
        info!(address = %bound, "cluster socket listening");
        Ok(token)
    }

    /// Receives datagrams from other routers and passes them to the membership or quota protocol.
    pub(crate) fn on_cluster_datagrams(&mut self, socket: &mut UdpSocket) -> ConnectionAction {
        let Some(mut cluster) = self.cluster.take() else { return ConnectionAction::Close };
        let now = self.now.as_micros();
        let mut buffer = [0; RECEIVE_BUFFER_BYTES];
        // No attempt is sent while datagrams are received, so the demand has to be computed only
        // once.
        let mut demands = None;
        for _ in 0..MAX_DATAGRAMS_PER_EVENT {
            match socket.recv(&mut buffer) {
                Ok(length) if QuotaManager::is_quota_datagram(&buffer[..length]) => {
                    let Some(quotas) = &mut cluster.quotas else { continue };
                    let demands = demands.get_or_insert_with(|| self.router.warm_up_demands(self.now));
                    quotas.update_demand(now, demands);
                    quotas.handle_datagram(now, &buffer[..length]);
                }
                Ok(length) => cluster.membership.handle_datagram(now, &buffer[..length]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                // The error reports that an earlier datagram could not be delivered; the socket
                // stays usable.
                Err(_) => {}
            }
        }
        self.cluster = Some(cluster);
        self.after_cluster_event(Some(socket));
        ConnectionAction::Keep
    }

    /// Calls the protocols that are due. Called when the cluster timer has expired or the socket
    /// was opened.
    pub(crate) fn on_cluster_timer(&mut self) {
        let now = self.now.as_micros();
        let Some(cluster) = self.cluster.as_mut().filter(|cluster| cluster.socket.is_some()) else { return };
        if now >= cluster.membership.next_timeout() {
            cluster.membership.handle_timeout(now);
        }
        if let Some(quotas) = cluster.quotas.as_mut().filter(|quotas| now >= quotas.next_timeout()) {
            quotas.update_demand(now, &self.router.warm_up_demands(self.now));
            quotas.handle_timeout(now);
        }
        if self.now >= cluster.timer_at {
            cluster.timer_at = Timestamp::ZERO;
        }
        self.after_cluster_event(None);
    }

    /// Sends queued datagrams, applies changes of membership and quotas, and sets the next timer.
    /// The caller passes the socket if it has taken it out of the connection table.
    pub(super) fn after_cluster_event(&mut self, socket: Option<&UdpSocket>) {
        let Some(mut cluster) = self.cluster.take() else { return };
        let more_queued = match socket.or_else(|| self.cluster_socket(&cluster)) {
            Some(socket) => cluster.transmit(socket),
            None => false,
        };
        if cluster.log_changes() {
            cluster.update_quota_peers(self.now);
        }
        self.apply_quotas(&mut cluster);
        self.apply_router_counts(&mut cluster);
        let wanted = if more_queued { self.now } else { cluster.next_timeout() };
        if cluster.timer_at == Timestamp::ZERO || wanted < cluster.timer_at {
            cluster.timer_at = wanted.max(self.now + MICROSECOND);
            self.timers.set(cluster.timer_at, Timer::Cluster);
        }
        self.cluster = Some(cluster);
    }

    fn cluster_socket(&self, cluster: &ClusterMember) -> Option<&UdpSocket> {
        match self.connections.get(cluster.socket?) {
            Some(ConnectionKind::Cluster(socket)) => Some(socket),
            _ => None,
        }
    }
}
