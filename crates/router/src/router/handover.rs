//! What another router is handed to go on in this one's place, and going on under other settings.

use super::*;

impl Router {
    /// What another router needs to go on in this one's place; the driver adds the names of zones and kinds. From
    /// now on `new_filings` tells what comes.
    pub fn legacy(&mut self) -> HandoverState {
        let line = |(uid, m): &(Rc<str>, ListedEndpoint)| EndpointRecord {
            uid: uid.to_string(),
            addr: m.addr,
            zone: m.entry.zone,
            kind: m.entry.kind,
            cell: m.entry.cell,
            weight: m.entry.weight,
            draining: m.entry.state == EndpointState::Draining,
            started: m.entry.started,
        };
        let mut members: Vec<EndpointRecord> = self.members.values().map(line).collect();
        members.sort_by(|a, b| a.uid.cmp(&b.uid));
        let filing = |(rid, f): (&u64, &(Timestamp, Option<EndpointId>))| PendingWrite {
            request_id: *rid,
            arrived: f.0,
            endpoint: f.1.map(|h| h.0),
        };
        let mut filings: Vec<PendingWrite> = self.filings.by_id.iter().map(filing).collect();
        filings.sort_unstable_by_key(|f| (f.arrived, f.request_id));
        self.filings.fresh = Some(Vec::new());
        HandoverState {
            classes: self.classes.names().map(str::to_string).collect(),
            endpoints: members,
            pending_writes: filings,
            decision: self.control.snapshot(),
            ..HandoverState::default()
        }
    }

    /// The requests that may not be repeated and came since this was asked last, if a legacy was handed over.
    pub fn take_new_pending_writes(&mut self) -> Vec<PendingWrite> {
        self.filings.fresh.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Nobody is to hear of new filings any more.
    pub fn stop_tracking_pending_writes(&mut self) {
        self.filings.fresh = None;
    }

    /// Requests that another router took and that may have run: they are never taken here.
    pub fn restore_pending_writes(&mut self, now: Timestamp, filings: &[PendingWrite]) {
        for PendingWrite { request_id: rid, arrived: at, endpoint } in filings {
            let _room = self.filings.add((*at).min(now), *rid, endpoint.map(EndpointId));
        }
    }

    /// Goes on with another router's legacy, after its list of members was told here.
    pub fn restore(&mut self, now: Timestamp, legacy: &HandoverState) {
        self.restore_pending_writes(now, &legacy.pending_writes);
        let mut memory = legacy.decision.clone();
        let learnt = std::mem::take(&mut memory.classes);
        // The newest slot of a name comes last there.
        let by_name = |name: &str| legacy.classes.iter().zip(&learnt).rev().find(|(n, _)| *n == name);
        memory.classes =
            self.classes.names().map(|n| by_name(n).map(|l| l.1.clone()).unwrap_or_default()).collect();
        self.control.restore(now, &memory);
        if let Some(follow) = &mut self.follow {
            follow.restore(now, &memory);
        }
    }

    /// Goes on under other settings, whose classes have these names; what is impossible changes nothing.
    pub fn reconfigure(&mut self, settings: &Settings, names: &[String]) -> Result<(), SettingsError> {
        settings.check()?;
        let open = self.open.values().map(|o| o.wanted.class);
        let held: BTreeSet<u16> = open.chain(self.out.values().map(|o| o.class)).collect();
        let named = names.iter().cloned().zip(settings.classes.iter().cloned()).collect();
        let ClassTable { classes, from } = self.classes.change(named, &self.settings.classes, &held);
        self.settings = Settings { classes, ..settings.clone() };
        self.places = self.classes.names().map(|name| self.metrics.place(name)).collect();
        if let Some(follow) = &mut self.follow {
            follow.reconfigure(self.settings.clone());
        }
        self.control.reconfigure(self.settings.clone(), &from)
    }
}
