//! What another router is handed to go on in this one's place, and going on under other settings.

use super::*;

impl Router {
    /// What another router needs to go on in this one's place; the driver adds the names of zones and kinds. From
    /// now on `new_filings` tells what comes.
    pub fn legacy(&mut self) -> Legacy {
        let line = |(uid, m): &(Rc<str>, Member)| Line {
            uid: uid.to_string(),
            addr: m.addr,
            zone: m.entry.zone,
            kind: m.entry.kind,
            cell: m.entry.cell,
            weight: m.entry.weight,
            draining: m.entry.state == HostState::Draining,
            started: m.entry.started,
        };
        let mut members: Vec<Line> = self.members.values().map(line).collect();
        members.sort_by(|a, b| a.uid.cmp(&b.uid));
        let filing = |(rid, f): (&u64, &(Timestamp, Option<HostId>))| (*rid, f.0, f.1.map(|h| h.0));
        let mut filings: Vec<Filing> = self.filings.by_id.iter().map(filing).collect();
        filings.sort_unstable_by_key(|f| (f.1, f.0));
        self.filings.fresh = Some(Vec::new());
        Legacy {
            classes: self.classes.names().map(str::to_string).collect(),
            members,
            filings,
            memory: self.control.remember(),
            ..Legacy::default()
        }
    }

    /// The requests that may not be repeated and came since this was asked last, if a legacy was handed over.
    pub fn new_filings(&mut self) -> Vec<Filing> {
        self.filings.fresh.as_mut().map(std::mem::take).unwrap_or_default()
    }

    /// Nobody is to hear of new filings any more.
    pub fn keep_filings(&mut self) {
        self.filings.fresh = None;
    }

    /// Requests that another router took and that may have run: they are never taken here.
    pub fn recall_filings(&mut self, now: Timestamp, filings: &[Filing]) {
        for (rid, at, host) in filings {
            let _room = self.filings.add((*at).min(now), *rid, host.map(HostId));
        }
    }

    /// Goes on with another router's legacy, after its list of members was told here.
    pub fn recall(&mut self, now: Timestamp, legacy: &Legacy) {
        self.recall_filings(now, &legacy.filings);
        let mut memory = legacy.memory.clone();
        let learnt = std::mem::take(&mut memory.classes);
        // The newest slot of a name comes last there.
        let by_name = |name: &str| legacy.classes.iter().zip(&learnt).rev().find(|(n, _)| *n == name);
        memory.classes =
            self.classes.names().map(|n| by_name(n).map(|l| l.1.clone()).unwrap_or_default()).collect();
        self.control.recall(now, &memory);
        if let Some(follow) = &mut self.follow {
            follow.recall(now, &memory);
        }
    }

    /// Goes on under other settings, whose classes have these names; what is impossible changes nothing.
    pub fn retune(&mut self, settings: &Settings, names: &[String]) -> Result<(), SettingsError> {
        settings.check()?;
        let open = self.open.values().map(|o| o.wanted.class);
        let held: BTreeSet<u16> = open.chain(self.out.values().map(|o| o.class)).collect();
        let named = names.iter().cloned().zip(settings.classes.iter().cloned()).collect();
        let Table { classes, from } = self.classes.change(named, &self.settings.classes, &held);
        self.settings = Settings { classes, ..settings.clone() };
        self.places = self.classes.names().map(|name| self.figures.place(name)).collect();
        if let Some(follow) = &mut self.follow {
            follow.retune(self.settings.clone());
        }
        self.control.retune(self.settings.clone(), &from)
    }
}
