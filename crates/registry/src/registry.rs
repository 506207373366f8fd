//! The registry: endpoints by id, open purges, and the commands that change them.

use crate::command::{Command, HarmfulCommands};
use crate::endpoint::{
    AttemptKind, EndpointRole, EndpointSpec, EndpointStatus, HealthSignal, RegisteredEndpoint,
};
use crate::error::{CommandError, Harm, NoEffect, Prohibition};
use crate::purge::{Purge, PurgeTarget};
use hollymux_decision::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Most endpoints kept, those that were removed included.
pub const MAX_ENDPOINTS: usize = 256;
/// How long a removed endpoint is remembered: its id must not come back as another's.
pub const REMOVED_RETENTION: Duration = Duration::from_secs(3_600);
/// Most purges open at a time.
pub const MAX_OPEN_PURGES: usize = 1_024;
/// By this time after a drain every router knows of it and sends no new requests.
pub const DRAIN_DURATION: Duration = Duration::from_millis(500);
/// Most changes remembered for the error of a command that was based on an older revision.
const MAX_CHANGES: usize = 16;

/// An executed command.
#[derive(Clone, Debug)]
struct Change {
    /// The registry's revision after it.
    revision: u64,
    description: String,
}

/// The endpoint registry.
#[derive(Clone, Debug, Default)]
pub struct EndpointRegistry {
    endpoints: BTreeMap<String, RegisteredEndpoint>,
    revision: u64,
    /// The last changes, the oldest first.
    changes: VecDeque<Change>,
    /// In the order of time.
    purges: Vec<Purge>,
    warm_up: Duration,
    purge_duration: Duration,
}

impl EndpointRegistry {
    /// An empty registry. An endpoint's cache is warm `warm_up` after its start; a purged copy is
    /// gone from everywhere `purge_duration` after the purge.
    pub fn new(warm_up: Duration, purge_duration: Duration) -> EndpointRegistry {
        EndpointRegistry { warm_up, purge_duration, ..EndpointRegistry::default() }
    }

    /// The registry's revision, which rises by one with every command that is executed.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All endpoints, those that were removed included while they are remembered.
    pub fn endpoints(&self) -> impl Iterator<Item = &RegisteredEndpoint> {
        self.endpoints.values()
    }

    /// An endpoint by its id.
    pub fn endpoint(&self, uid: &str) -> Option<&RegisteredEndpoint> {
        self.endpoints.get(uid)
    }

    /// Purges that may not be complete yet.
    pub fn purges(&self) -> &[Purge] {
        &self.purges
    }

    /// Takes a health signal of an endpoint.
    pub fn on_health_signal(&mut self, now: Timestamp, uid: &str, signal: HealthSignal) {
        if let Some(endpoint) = self.endpoints.get_mut(uid) {
            endpoint.on_signal(now, signal, self.warm_up);
        }
    }

    /// Counts an attempt that was sent to an endpoint.
    pub fn attempt_started(&mut self, uid: &str, kind: AttemptKind) {
        if let Some(endpoint) = self.endpoints.get_mut(uid) {
            endpoint.attempt_started(kind);
        }
    }

    /// Counts an attempt that has ended.
    pub fn attempt_ended(&mut self, uid: &str, kind: AttemptKind) {
        if let Some(endpoint) = self.endpoints.get_mut(uid) {
            endpoint.attempt_ended(kind);
        }
    }

    /// Applies the passing of time: caches become warm, purges complete, removed endpoints are
    /// forgotten.
    pub fn on_time(&mut self, now: Timestamp) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.on_time(now, self.warm_up);
        }
        self.endpoints.retain(|_, endpoint| match endpoint.status {
            EndpointStatus::Removed { at } => now < at + REMOVED_RETENTION,
            _ => true,
        });
        let purge_duration = self.purge_duration;
        self.purges.retain(|purge| now < purge.at + purge_duration);
    }

    /// Executes a command that was based on the revision `based_on`, and describes in one sentence
    /// what was done.
    ///
    /// # Errors
    /// The command is not executed, and the registry is unchanged.
    pub fn execute(
        &mut self,
        now: Timestamp,
        command: Command,
        based_on: u64,
        harmful: HarmfulCommands,
    ) -> Result<String, CommandError> {
        self.check_revision(based_on)?;
        match self.check(now, &command) {
            Err(CommandError::Harmful(_)) if harmful == HarmfulCommands::Execute => {}
            checked => checked?,
        }
        let description = self.apply(now, command);
        self.revision += 1;
        self.changes.push_back(Change { revision: self.revision, description: description.clone() });
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        Ok(description)
    }

    fn check_revision(&self, based_on: u64) -> Result<(), CommandError> {
        if based_on == self.revision {
            return Ok(());
        }
        let newer = self.changes.iter().filter(|change| change.revision > based_on);
        let changes = newer.map(|change| change.description.clone()).collect();
        Err(CommandError::StaleRevision { based_on, current: self.revision, changes })
    }

    /// Whether a command may be executed now. A console calls this before it asks the operator to
    /// confirm.
    ///
    /// # Errors
    /// Why not.
    pub fn check(&self, now: Timestamp, command: &Command) -> Result<(), CommandError> {
        match command {
            Command::Add(spec) => self.check_add(spec),
            Command::Drain { uid } => self.check_drain(now, self.present_endpoint(uid)?),
            Command::Undrain { uid } => check_undrain(self.present_endpoint(uid)?),
            Command::Remove { uid } => check_remove(now, self.present_endpoint(uid)?),
            Command::Purge(target) => self.check_purge(now, *target),
        }
    }

    fn present_endpoint(&self, uid: &str) -> Result<&RegisteredEndpoint, NoEffect> {
        match self.endpoints.get(uid) {
            Some(endpoint) if !endpoint.is_removed() => Ok(endpoint),
            Some(_) => Err(NoEffect::Removed { uid: uid.to_string() }),
            None => Err(NoEffect::Unknown { uid: uid.to_string() }),
        }
    }

    fn check_add(&self, spec: &EndpointSpec) -> Result<(), CommandError> {
        if self.endpoints.contains_key(&spec.uid) {
            return Err(Prohibition::UidInUse { uid: spec.uid.clone() }.into());
        }
        if self.endpoints.len() >= MAX_ENDPOINTS {
            return Err(Prohibition::RegistryFull.into());
        }
        let mut present = self.endpoints.values().filter(|endpoint| !endpoint.is_removed());
        let Some(holder) = present.find(|endpoint| endpoint.spec.addr == spec.addr) else {
            return Ok(());
        };
        let uid = holder.spec.uid.clone();
        let addr = spec.addr;
        if holder.non_idempotent_in_flight > 0 {
            let count = holder.non_idempotent_in_flight;
            return Err(Prohibition::ReplacesPendingWrites { uid, addr, count }.into());
        }
        Err(Harm::ReplacesEndpoint { uid, addr, in_flight: holder.in_flight }.into())
    }

    fn check_drain(&self, now: Timestamp, endpoint: &RegisteredEndpoint) -> Result<(), CommandError> {
        if let EndpointStatus::Draining { since } = endpoint.status {
            let uid = endpoint.spec.uid.clone();
            let draining_for = now.saturating_duration_since(since);
            return Err(NoEffect::AlreadyDraining { uid, draining_for }.into());
        }
        if !endpoint.takes_requests() {
            return Ok(());
        }
        self.check_others_take_requests(endpoint)
    }

    /// Rejects the loss of the last endpoint of a role that takes requests.
    fn check_others_take_requests(&self, endpoint: &RegisteredEndpoint) -> Result<(), CommandError> {
        let is_other_of_role = |other: &&RegisteredEndpoint| {
            other.spec.role == endpoint.spec.role && other.spec.uid != endpoint.spec.uid
        };
        let others = || self.endpoints.values().filter(is_other_of_role);
        if others().any(RegisteredEndpoint::takes_requests) {
            return Ok(());
        }
        let is_ejected = |other: &&RegisteredEndpoint| matches!(other.status, EndpointStatus::Ejected { .. });
        let ejected = others().filter(is_ejected).count();
        let uid = endpoint.spec.uid.clone();
        let harm = match endpoint.spec.role {
            EndpointRole::EdgeCache => Harm::LastEdgeCache { uid, ejected },
            EndpointRole::ParentCache => {
                Harm::OnlyParentCache { uid, in_flight: endpoint.in_flight, ejected }
            }
            EndpointRole::Origin => Harm::Origin { uid, ejected },
        };
        Err(harm.into())
    }

    fn check_purge(&self, now: Timestamp, target: PurgeTarget) -> Result<(), CommandError> {
        if self.purges.len() >= MAX_OPEN_PURGES {
            return Err(Prohibition::TooManyPurges.into());
        }
        let completion = |purge: &Purge| purge.at + self.purge_duration;
        let is_open = |purge: &Purge| now < completion(purge);
        let covers = |purge: &&Purge| purge.target.covers(target) && is_open(purge);
        match self.purges.iter().find(covers) {
            None => Ok(()),
            Some(covering) => Err(Harm::CoveredByPurge {
                age: now.saturating_duration_since(covering.at),
                remaining: completion(covering).saturating_duration_since(now),
            }
            .into()),
        }
    }

    /// Applies a command that was checked, and describes what was done.
    fn apply(&mut self, now: Timestamp, command: Command) -> String {
        match command {
            Command::Add(spec) => self.add(now, spec),
            Command::Drain { uid } => {
                self.set_status(&uid, EndpointStatus::Draining { since: now });
                format!("{uid} is draining")
            }
            Command::Undrain { uid } => {
                // It may have restarted while it was draining, so its cache may be empty.
                if let Some(endpoint) = self.endpoints.get_mut(&uid) {
                    endpoint.begin_warm_up(now);
                }
                format!("{uid} takes requests again, warming up")
            }
            Command::Remove { uid } => {
                self.set_status(&uid, EndpointStatus::Removed { at: now });
                format!("{uid} is removed")
            }
            Command::Purge(target) => {
                self.purges.push(Purge { at: now, target });
                format!("{target} is purged")
            }
        }
    }

    /// Adds an endpoint and removes the one at its address.
    fn add(&mut self, now: Timestamp, spec: EndpointSpec) -> String {
        let mut description = format!("{} added at {}", spec.uid, spec.addr);
        let mut present = self.endpoints.values_mut().filter(|endpoint| !endpoint.is_removed());
        if let Some(replaced) = present.find(|endpoint| endpoint.spec.addr == spec.addr) {
            replaced.status = EndpointStatus::Removed { at: now };
            description.push_str(&format!(" in place of {}", replaced.spec.uid));
        }
        self.endpoints.insert(spec.uid.clone(), RegisteredEndpoint::new(spec, now));
        description
    }

    fn set_status(&mut self, uid: &str, status: EndpointStatus) {
        if let Some(endpoint) = self.endpoints.get_mut(uid) {
            endpoint.status = status;
        }
    }
}

fn check_undrain(endpoint: &RegisteredEndpoint) -> Result<(), CommandError> {
    match endpoint.status {
        EndpointStatus::Draining { .. } => Ok(()),
        _ => Err(NoEffect::NotDraining { uid: endpoint.spec.uid.clone() }.into()),
    }
}

fn check_remove(now: Timestamp, endpoint: &RegisteredEndpoint) -> Result<(), CommandError> {
    let uid = endpoint.spec.uid.clone();
    let in_flight = endpoint.in_flight;
    if endpoint.non_idempotent_in_flight > 0 {
        let count = endpoint.non_idempotent_in_flight;
        return Err(Prohibition::RemovesPendingWrites { uid, count }.into());
    }
    match endpoint.status {
        EndpointStatus::Draining { since } if now < since + DRAIN_DURATION => {
            let remaining = (since + DRAIN_DURATION).saturating_duration_since(now);
            Err(Prohibition::DrainUnderWay { uid, remaining }.into())
        }
        EndpointStatus::Draining { .. } if in_flight > 0 => {
            Err(Harm::DrainIncomplete { uid, in_flight }.into())
        }
        EndpointStatus::Draining { .. } | EndpointStatus::Joining => Ok(()),
        EndpointStatus::Ejected { .. } if in_flight == 0 => Ok(()),
        _ => Err(Harm::NotDrained { uid, in_flight }.into()),
    }
}
