//! The endpoint registry: endpoints by id, open purges, and the execution of commands.

use crate::command::{Command, HarmfulCommands};
use crate::endpoint::{
    AttemptKind, EndpointRole, EndpointSpec, EndpointStatus, HealthSignal, RegisteredEndpoint,
};
use crate::error::{CommandError, Harm, NoEffect, Prohibition};
use crate::purge::{Purge, PurgeTarget};
use hollymux_decision::Timestamp;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Most endpoints that a registry holds, removed endpoints included.
pub const MAX_ENDPOINTS: usize = 256;
/// How long a removed endpoint is remembered, so that its id isn't used for another endpoint.
pub const REMOVED_RETENTION: Duration = Duration::from_secs(3_600);
/// Most purges that may be open at a time.
pub const MAX_OPEN_PURGES: usize = 1_024;
/// Time from a drain command until every router knows of it and sends no new requests to the
/// endpoint.
pub const DRAIN_DURATION: Duration = Duration::from_millis(500);
/// Most executed commands that are remembered for [`CommandError::StaleRevision`].
const MAX_CHANGES: usize = 16;

/// A command that was executed, kept to tell a caller what changed since its revision.
#[derive(Clone, Debug)]
struct Change {
    /// The registry's revision after the command.
    revision: u64,
    description: String,
}

/// The endpoints of a small site and its open purges.
#[derive(Clone, Debug, Default)]
pub struct EndpointRegistry {
    endpoints: BTreeMap<String, RegisteredEndpoint>,
    revision: u64,
    /// The last executed commands, oldest first.
    changes: VecDeque<Change>,
    /// Open purges, oldest first.
    purges: Vec<Purge>,
    warm_up: Duration,
    purge_duration: Duration,
}

impl EndpointRegistry {
    /// Creates an empty registry. An endpoint's cache counts as warm `warm_up` after the endpoint
    /// started with an empty one. A purge is complete in all caches `purge_duration` after its
    /// command.
    pub fn new(warm_up: Duration, purge_duration: Duration) -> EndpointRegistry {
        EndpointRegistry { warm_up, purge_duration, ..EndpointRegistry::default() }
    }

    /// The registry's revision. It starts at 0 and increases by one with every executed command.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// All endpoints in the order of their ids, including removed ones that are still remembered.
    pub fn endpoints(&self) -> impl Iterator<Item = &RegisteredEndpoint> {
        self.endpoints.values()
    }

    /// Looks up an endpoint by its id; `None` if it was never added or is no longer remembered.
    pub fn endpoint(&self, uid: &str) -> Option<&RegisteredEndpoint> {
        self.endpoints.get(uid)
    }

    /// Purges that may not be complete yet, oldest first.
    pub fn purges(&self) -> &[Purge] {
        &self.purges
    }

    /// Applies a health signal of an endpoint. Signals of unknown endpoints are ignored.
    pub fn on_health_signal(&mut self, now: Timestamp, uid: &str, signal: HealthSignal) {
        if let Some(endpoint) = self.endpoints.get_mut(uid) {
            endpoint.on_signal(now, signal, self.warm_up);
        }
    }

    /// Counts an attempt that was sent to an endpoint. Unknown endpoints are ignored.
    pub fn attempt_started(&mut self, uid: &str, kind: AttemptKind) {
        if let Some(endpoint) = self.endpoints.get_mut(uid) {
            endpoint.attempt_started(kind);
        }
    }

    /// Counts the end of an attempt that [`EndpointRegistry::attempt_started`] counted.
    pub fn attempt_ended(&mut self, uid: &str, kind: AttemptKind) {
        if let Some(endpoint) = self.endpoints.get_mut(uid) {
            endpoint.attempt_ended(kind);
        }
    }

    /// Applies the transitions that are due at `now`: warm-ups end, ejection counts are reset,
    /// purges become complete and removed endpoints are forgotten.
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

    /// Executes a command that the operator based on the revision `based_on`. Returns a sentence
    /// that describes the change.
    ///
    /// # Errors
    /// The reason why the command is not executed. The registry is left unchanged.
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

    /// Checks whether a command may be executed now. A console calls this before it asks the
    /// operator to confirm.
    ///
    /// # Errors
    /// The reason why the command would not be executed.
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

    /// Returns the harm done if `endpoint` is the last of its role that takes requests.
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

    /// Applies a command that was checked, and returns a description of the change.
    fn apply(&mut self, now: Timestamp, command: Command) -> String {
        match command {
            Command::Add(spec) => self.add(now, spec),
            Command::Drain { uid } => {
                self.set_status(&uid, EndpointStatus::Draining { since: now });
                format!("{uid} is draining")
            }
            Command::Undrain { uid } => {
                // The endpoint may have restarted while it was draining, so its cache may be empty.
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

    /// Adds an endpoint, and removes the endpoint that has the same address.
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
