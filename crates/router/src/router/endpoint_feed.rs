//! Handling of events from the endpoint feed: updates of the endpoint list, and purges.

use super::Router;
use crate::endpoint_list::{FeedEvent, ListedEndpoint};
use crate::messages::{Command, RoutingMode};
use hollymux_decision::{Event, ListKind, Purge, Timestamp};

impl Router {
    /// Applies an update of the endpoint list or a purge.
    pub(super) fn on_feed_event(&mut self, now: Timestamp, event: FeedEvent, commands: &mut Vec<Command>) {
        match event {
            FeedEvent::Purge { object, group, at } => {
                let purge = Purge { since: now.saturating_duration_since(at), object, group };
                self.apply_purge(now, purge, commands);
            }
            FeedEvent::Endpoints { is_full_list, endpoints } => {
                self.apply_endpoint_update(now, is_full_list, endpoints, commands);
            }
        }
    }

    fn apply_purge(&mut self, now: Timestamp, purge: Purge, commands: &mut Vec<Command>) {
        if self.hint_follower.is_some() {
            self.decide(now, RoutingMode::FollowHint, Event::Purged(purge.clone()), commands);
        }
        self.decide(now, RoutingMode::Decide, Event::Purged(purge), commands);
    }

    fn apply_endpoint_update(
        &mut self,
        now: Timestamp,
        is_full_list: bool,
        endpoints: Vec<ListedEndpoint>,
        commands: &mut Vec<Command>,
    ) {
        let entries = self.endpoints.apply_update(is_full_list, endpoints, commands);
        let kind = if is_full_list { ListKind::Full } else { ListKind::Delta };
        self.decide(now, RoutingMode::Decide, Event::EndpointList { kind, entries }, commands);
        // Endpoints that are gone are removed only after the event: attempts that it ends are
        // logged with the names of their endpoints.
        self.endpoints.forget_gone();
    }
}
