//! Transfers of the server model over its links.

use super::{ServerModel, TimedEvent};
use crate::shared_link::{SharedLink, TransferId};

/// A link of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkId {
    /// The outgoing link of a server.
    ServerOut(usize),
    /// The incoming link of a site, which all fills from outside share.
    SiteIn(usize),
}

/// A link with what the model keeps beside it.
#[derive(Debug)]
pub(super) struct ModelLink {
    pub link: SharedLink,
    /// Counts changes: the event for the end of a transfer is valid for one generation.
    generation: u64,
    /// Bytes that it had carried when accounting started.
    pub carried_before: f64,
}

impl ModelLink {
    pub fn new(link: SharedLink) -> ModelLink {
        ModelLink { link, generation: 0, carried_before: 0.0 }
    }

    /// Bytes carried since accounting started.
    pub fn carried(&self) -> f64 {
        self.link.carried() - self.carried_before
    }
}

/// What a transfer belongs to.
#[derive(Clone, Copy, Debug)]
pub(super) enum TransferOwner {
    /// The answer to the request of this id.
    Request(u64),
    /// The fill of this id.
    Fill(u64),
}

/// A transfer on one link.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transfer {
    pub link: LinkId,
    pub id: TransferId,
}

impl ServerModel {
    fn link_mut(&mut self, id: LinkId) -> &mut ModelLink {
        match id {
            LinkId::ServerOut(server) => &mut self.runtimes[server].out,
            LinkId::SiteIn(site) => &mut self.site_links[site],
        }
    }

    /// Plans the end of the link's next transfer, in place of what was planned before.
    pub(super) fn reschedule_link(&mut self, id: LinkId) {
        let link = self.link_mut(id);
        link.generation += 1;
        let generation = link.generation;
        if let Some(due) = link.link.due() {
            self.schedule(due, TimedEvent::LinkDue { link: id, generation });
        }
    }

    pub(super) fn start_transfer(&mut self, link: LinkId, bytes: u64, owner: TransferOwner) -> Transfer {
        let now = self.now;
        let id = self.new_id();
        self.transfers.insert(id, owner);
        self.link_mut(link).link.start(now, id, bytes as f64);
        self.reschedule_link(link);
        Transfer { link, id }
    }

    /// Cancels a transfer, unless it has ended.
    pub(super) fn cancel_transfer(&mut self, transfer: Transfer) {
        if self.transfers.remove(&transfer.id).is_some() {
            let now = self.now;
            self.link_mut(transfer.link).link.cancel(now, transfer.id);
            self.reschedule_link(transfer.link);
        }
    }

    /// Transfers of a link have ended, if nothing changed there meanwhile.
    pub(super) fn on_link_due(&mut self, id: LinkId, generation: u64) {
        if self.link_mut(id).generation != generation {
            return;
        }
        let now = self.now;
        while let Some(transfer) = self.link_mut(id).link.pop_finished(now) {
            match self.transfers.remove(&transfer) {
                Some(TransferOwner::Request(request)) => self.on_answer_sent(request),
                Some(TransferOwner::Fill(fill)) => self.on_fill_step(fill),
                None => {}
            }
        }
        self.reschedule_link(id);
    }
}
