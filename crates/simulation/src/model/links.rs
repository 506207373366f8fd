//! Transfers of the server model on its links.

use super::{ServerModel, TimedEvent};
use crate::shared_link::{SharedLink, TransferId};

/// Identifies a link of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkId {
    /// The outgoing link of the server with this index.
    ServerOut(usize),
    /// The incoming link of the site with this index, which all fills from outside the site share.
    SiteIn(usize),
}

/// A link, with its schedule and its accounting.
#[derive(Debug)]
pub(super) struct ModelLink {
    pub link: SharedLink,
    /// The number of changes on the link. A scheduled [`TimedEvent::LinkDue`] is valid only for the
    /// generation that it names.
    generation: u64,
    /// Bytes that the link had carried when accounting started.
    pub carried_before_accounting: f64,
}

impl ModelLink {
    pub fn new(link: SharedLink) -> ModelLink {
        ModelLink { link, generation: 0, carried_before_accounting: 0.0 }
    }

    /// Bytes carried since accounting started.
    pub fn carried(&self) -> f64 {
        self.link.carried() - self.carried_before_accounting
    }
}

/// The request or fill on behalf of which a transfer runs.
#[derive(Clone, Copy, Debug)]
pub(super) enum TransferOwner {
    /// The transfer is the answer to the request with this id.
    Request(u64),
    /// The transfer belongs to the fill with this id.
    Fill(u64),
}

/// A transfer on one link. A fill has one on each link that it uses.
#[derive(Clone, Copy, Debug)]
pub(super) struct Transfer {
    pub link: LinkId,
    pub id: TransferId,
}

impl ServerModel {
    fn link_mut(&mut self, id: LinkId) -> &mut ModelLink {
        match id {
            LinkId::ServerOut(server) => &mut self.runtimes[server].outgoing_link,
            LinkId::SiteIn(site) => &mut self.site_links[site],
        }
    }

    /// Schedules the end of the link's next transfer and invalidates the earlier schedule.
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

    /// Cancels a transfer; does nothing if it has already ended.
    pub(super) fn cancel_transfer(&mut self, transfer: Transfer) {
        if self.transfers.remove(&transfer.id).is_some() {
            let now = self.now;
            self.link_mut(transfer.link).link.cancel(now, transfer.id);
            self.reschedule_link(transfer.link);
        }
    }

    /// Completes the transfers of a link that have ended; does nothing if the link has changed
    /// since the event was scheduled.
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
