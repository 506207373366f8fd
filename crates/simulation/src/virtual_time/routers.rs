//! The routers in virtual time: their processes, the inputs of their cores and the execution of the
//! cores' commands.

use super::MESSAGE_DELAY;
use super::{read_config, server_at, OpenAttempt, RouterRecord, Simulation, TimedEvent, VirtualTimeError};
use crate::load::{ClientAttempt, ClientOutcome};
use crate::model::ServerState;
use crate::objects::copy_age;
use crate::router_config::RouterSlot;
use crate::{Time, MS};
use hollymux_decision::{EndpointId, Timestamp};
use hollymux_router::{
    AttemptFailure, AttemptId, ClientHandle, ClientRequest, Command, FeedEvent, Input, ReceivedNumber, Reply,
    Router,
};
use hollymux_server::config::Config;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// Time after which a router gives up a connection to an unreachable server.
const CONNECT_TIMEOUT: Time = 400 * MS;

/// The state of a router's process.
#[derive(Debug)]
pub(super) enum ProcessState {
    /// The process handles its inputs as they arrive.
    Running,
    /// A fault has killed the process.
    Killed,
    /// A fault has paused the process; the inputs since then are processed when it resumes.
    Paused(VecDeque<Input>),
}

/// A router: its core, the configuration of its latest start, and the state of its process.
pub(super) struct SimulatedRouter {
    pub slot: RouterSlot,
    pub core: Router,
    pub config: Config,
    pub process: ProcessState,
}

impl SimulatedRouter {
    /// Creates a router's core and returns it with the initial endpoint list of its configuration.
    pub fn start(
        slot: RouterSlot,
        mut config: Config,
    ) -> Result<(SimulatedRouter, Vec<FeedEvent>), VirtualTimeError> {
        let initial_list = std::mem::take(&mut config.known.1);
        let core = Router::new(config.router_options(), false)
            .map_err(|source| VirtualTimeError::Settings { router: slot.name(), source })?;
        let router = SimulatedRouter { slot, core, config, process: ProcessState::Running };
        Ok((router, initial_list))
    }

    pub fn is_running(&self) -> bool {
        matches!(self.process, ProcessState::Running)
    }
}

impl Simulation<'_> {
    // ---- processes ----

    /// Kills a router's process: its clients lose their connections, and its attempts at servers
    /// are cancelled.
    pub(super) fn kill_router(&mut self, router: usize) {
        self.routers[router].process = ProcessState::Killed;
        if let Some(cluster) = &mut self.cluster {
            cluster.kill(router);
        }
        let open = self.open.iter().filter(|(_, open)| open.router == router);
        let open: Vec<u64> = open.map(|(id, _)| *id).collect();
        for id in open {
            self.open.remove(&id);
            self.clients.on_answer(self.now, id, ClientOutcome::ConnectionLost);
        }
        let attempts = self.attempts.iter().filter(|(_, attempt)| attempt.router == router);
        let attempts: Vec<u64> = attempts.map(|(id, _)| *id).collect();
        for id in attempts {
            self.attempts.remove(&id);
            self.model.cancel_attempt(self.now, id);
        }
        self.attempt_ids.retain(|(of, _), _| *of != router);
        self.timed_events.retain(|event| event.process() != Some(router));
    }

    /// Starts a killed router with its present configuration and without any other state.
    pub(super) fn restart_router(&mut self, router: usize) {
        let slot = self.routers[router].slot;
        // These errors can't occur: the same configuration was valid at the start of the run.
        let Ok(config) = read_config(&self.scenario, &self.model, slot, self.now) else { return };
        let Ok((restarted, initial_list)) = SimulatedRouter::start(slot, config) else { return };
        self.routers[router] = restarted;
        if let Some(cluster) = &mut self.cluster {
            cluster.start(router);
        }
        initial_list.into_iter().for_each(|event| self.apply_feed_event(router, event));
    }

    pub(super) fn pause_router(&mut self, router: usize) {
        self.routers[router].process = ProcessState::Paused(VecDeque::new());
        if let Some(cluster) = &mut self.cluster {
            cluster.pause(router);
        }
    }

    pub(super) fn resume_router(&mut self, router: usize) {
        let process = &mut self.routers[router].process;
        let previous = std::mem::replace(process, ProcessState::Running);
        if let Some(cluster) = &mut self.cluster {
            cluster.resume(router);
        }
        if let ProcessState::Paused(waiting) = previous {
            waiting.into_iter().for_each(|input| self.deliver_input(router, input));
        }
    }

    // ---- clients ----

    pub(super) fn send_client_attempt(&mut self, attempt: &ClientAttempt) {
        let router = self.scenario.router_index(attempt.site, attempt.router);
        let received = |value: u64| ReceivedNumber { text: format!("{value:016x}").into_bytes(), value };
        let request = ClientRequest {
            request_id: received(attempt.rid),
            class: self.scenario.classes[attempt.class].name.clone().into_bytes(),
            object: received(attempt.key.object),
            chunk: attempt.key.chunk,
            group: attempt.group,
            timeout_ms: attempt.timeout_ms,
            if_none_match: None,
            idempotency_key: None,
            body: self.pool.chain(),
        };
        self.open.insert(attempt.id, OpenAttempt { router, rid: attempt.rid });
        let client = ClientHandle { conn: attempt.rid, tag: attempt.id };
        self.deliver_input(router, Input::Request(client, request));
    }

    pub(super) fn cancel_client_attempt(&mut self, id: u64) {
        let Some(OpenAttempt { router, rid }) = self.open.remove(&id) else { return };
        if matches!(self.routers[router].process, ProcessState::Paused(_)) {
            self.cancelled_while_paused.insert(rid);
        }
        self.deliver_input(router, Input::Cancel(ClientHandle { conn: rid, tag: id }));
    }

    /// Passes a router's answer to the client that waits for it.
    fn on_reply(&mut self, client: ClientHandle, reply: Reply) {
        // The client cancelled while the router was paused. The router answers before it reads the
        // cancellation, so this answer is no surplus one.
        if self.cancelled_while_paused.remove(&client.conn) {
            return;
        }
        let is_open = self.open.get(&client.tag).is_some_and(|open| open.rid == client.conn);
        if !is_open {
            self.counters.surplus_answers += 1;
            return;
        }
        self.open.remove(&client.tag);
        let outcome = match reply {
            Reply::Served(digest, _) => ClientOutcome::Served { age: copy_age(self.now, digest.as_deref()) },
            Reply::NotModified(_) => ClientOutcome::Served { age: 0 },
            Reply::Rejected(retry_after_ms) => ClientOutcome::Rejected { retry_after: retry_after_ms * MS },
            Reply::Failed => ClientOutcome::Failed,
        };
        self.clients.on_answer(self.now, client.tag, outcome);
    }

    // ---- inputs and commands ----

    /// Passes an input to a router and executes the resulting commands, as the driver on sockets
    /// does.
    pub(super) fn deliver_input(&mut self, router: usize, input: Input) {
        match &mut self.routers[router].process {
            ProcessState::Running => {}
            ProcessState::Paused(waiting) => return waiting.push_back(input),
            ProcessState::Killed => return self.refuse_input(input),
        }
        let mut inputs = VecDeque::from([input]);
        let mut commands = Vec::new();
        while let Some(input) = inputs.pop_front() {
            let now = Timestamp::from_micros(self.now);
            self.routers[router].core.handle(now, input, &mut commands);
            for command in std::mem::take(&mut commands) {
                self.execute(router, command, &mut inputs);
            }
        }
    }

    /// Handles an input for a router that has been killed: clients can't connect to it, and
    /// everything else is lost.
    fn refuse_input(&mut self, input: Input) {
        if let Input::Request(client, _) = input {
            self.open.remove(&client.tag);
            self.clients.on_answer(self.now, client.tag, ClientOutcome::ConnectionLost);
        }
    }

    fn execute(&mut self, router: usize, command: Command, inputs: &mut VecDeque<Input>) {
        match command {
            Command::SendAttempt(request) => {
                let event = TimedEvent::AttemptArrives { router, request: Box::new(request) };
                self.schedule(self.now + MESSAGE_DELAY, event);
            }
            Command::CancelAttempt { attempt, .. } => self.cancel_router_attempt(router, attempt),
            Command::Reply(client, reply) => self.on_reply(client, reply),
            Command::Wake(at, wake) => {
                self.schedule(at.as_micros(), TimedEvent::RouterWake { router, wake });
            }
            Command::Probe(endpoint, address) => self.probe(router, endpoint, address),
            Command::CloseConnections(endpoint) => {
                self.fail_attempts_at(router, endpoint, inputs);
            }
            Command::RequestEnded(summary) => {
                (self.records)(self.routers[router].slot, &RouterRecord::RequestEnded(&summary));
            }
            Command::StopSending(_) | Command::Lookup(..) | Command::AttemptEnded(..) => {}
            Command::CancelTimers(_) | Command::Log(_) => {}
        }
    }

    fn cancel_router_attempt(&mut self, router: usize, attempt: AttemptId) {
        if let Some(id) = self.attempt_ids.remove(&(router, attempt)) {
            self.attempts.remove(&id);
            self.model.cancel_attempt(self.now, id);
        }
    }

    fn probe(&mut self, router: usize, endpoint: EndpointId, address: SocketAddr) {
        let server = server_at(address);
        let round_trip = 2 * MESSAGE_DELAY;
        let (after, healthy) = match self.model.servers[server].state {
            ServerState::Up => (round_trip, Some(self.model.is_healthy(server))),
            ServerState::Down => (round_trip, None),
            ServerState::Unreachable => (CONNECT_TIMEOUT, None),
        };
        self.schedule(self.now + after, TimedEvent::ProbeEnds { router, endpoint, healthy });
    }

    /// Fails a router's attempts at an endpoint to which it closes its connections.
    fn fail_attempts_at(&mut self, router: usize, endpoint: EndpointId, inputs: &mut VecDeque<Input>) {
        let is_endpoint = |uid: &str| hollymux_router::endpoint_id(uid) == endpoint;
        let server = self.model.servers.iter().position(|server| is_endpoint(&server.uid));
        let Some(server) = server else { return };
        let at_server =
            self.attempts.iter().filter(|(_, attempt)| attempt.router == router && attempt.server == server);
        let lost: Vec<u64> = at_server.map(|(id, _)| *id).collect();
        for id in lost {
            if let Some(in_flight) = self.attempts.remove(&id) {
                self.attempt_ids.remove(&(router, in_flight.attempt));
                self.model.cancel_attempt(self.now, id);
                inputs.push_back(Input::Failed(in_flight.attempt, AttemptFailure::ConnectionLost));
            }
        }
    }
}
