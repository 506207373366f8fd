//! The process of one router: its start, its log, its signals and its processor time.

use super::{any_loopback_port, MultiProcessError, RouterOptions};
use crate::model::ResourceUse;
use rustix::process::Signal;
use std::fs::File;
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{channel, Sender};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Time in which a router must log its listening address after its start, and must exit after
/// SIGTERM.
const ROUTER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which the admin endpoint of a router must accept a connection and send each part of its
/// answer.
const STATUS_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which routers are checked for their exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Positions of user and system time among the fields of `/proc/PID/stat` that follow the process's
/// name.
const STAT_USER_TIME: usize = 11;
const STAT_SYSTEM_TIME: usize = 12;

/// The log texts that precede a router's addresses.
const LISTENING_LOG: &str = "listening on ";
const ADMIN_LOG: &str = "admin endpoint listening address=";
const CLUSTER_LOG: &str = "cluster socket listening address=";
/// The log text of a router that reports another one failed. The line also contains the address of
/// that one.
const ROUTER_FAILED_LOG: &str = "cluster: router failed";

/// A line of a router's log that reports another router failed.
pub(super) struct FailureLogLine {
    pub at: Instant,
    /// The index of the router that wrote the line.
    pub by: usize,
    line: String,
}

impl FailureLogLine {
    /// Whether the line reports the router at this address.
    pub fn names(&self, address: SocketAddr) -> bool {
        self.line.contains(&format!(" address={address} "))
    }
}

/// The log lines that report failed routers, collected by the threads that read the routers' logs.
#[derive(Clone, Default)]
pub(super) struct FailureLog(Arc<Mutex<Vec<FailureLogLine>>>);

impl FailureLog {
    fn push(&self, line: FailureLogLine) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }

    /// Removes and returns the lines collected so far.
    pub fn take(&self) -> Vec<FailureLogLine> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// The addresses that a router logs before the one for clients; `None` for those that it has not
/// logged.
#[derive(Clone, Copy, Default)]
struct RouterAddresses {
    admin: Option<SocketAddr>,
    cluster: Option<SocketAddr>,
}

/// A running router process, which is killed when this value is dropped.
pub(super) struct RouterProcess {
    child: Child,
    /// The address on which the router serves clients.
    pub address: SocketAddr,
    /// The addresses of the admin endpoint and of the cluster socket; `None` if they are not
    /// configured.
    pub admin: Option<SocketAddr>,
    pub cluster: Option<SocketAddr>,
    /// Whether a fault has killed the process.
    pub killed: bool,
    /// Tokens of the clients' connections to the router.
    pub connections: Vec<usize>,
    /// Processor time of the process when accounting started, in clock ticks.
    ticks_at_accounting_start: u64,
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        // Both fail without harm if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The contents of the files that a router is started with.
pub(super) struct RouterFiles {
    pub index: usize,
    pub config: String,
    /// The cluster section of the operator's file; null if the routers form no cluster.
    pub cluster_section: serde_json::Value,
}

impl RouterFiles {
    fn name(&self) -> String {
        format!("n{}", self.index + 1)
    }
}

impl RouterProcess {
    /// Starts a router and waits until it listens for clients.
    pub fn start(
        options: &RouterOptions,
        files: &RouterFiles,
        failure_log: FailureLog,
    ) -> Result<RouterProcess, MultiProcessError> {
        let start_error = |source| MultiProcessError::RouterStart { router: files.name(), source };
        let mut child = spawn(options, files).map_err(start_error)?;
        let stderr = child.stderr.take().ok_or_else(|| start_error(ErrorKind::BrokenPipe.into()))?;
        // From here on an error drops this value, which kills the child process.
        let mut process = RouterProcess {
            child,
            address: any_loopback_port(),
            admin: None,
            cluster: None,
            killed: false,
            connections: Vec::new(),
            ticks_at_accounting_start: 0,
        };
        let log_path = options.dir.join(format!("{}.log", files.name()));
        let log = File::options().create(true).append(true).open(log_path).map_err(start_error)?;
        let (listening, started) = channel();
        let reader = LogReader { router: files.index, log, listening, failure_log };
        std::thread::Builder::new()
            .name(format!("log of {}", files.name()))
            .spawn(move || reader.run(stderr))
            .map_err(start_error)?;
        let (address, other_addresses) = started
            .recv_timeout(ROUTER_TIMEOUT)
            .map_err(|_| MultiProcessError::RouterStartTimeout { router: files.name() })?;
        process.address = address;
        process.admin = other_addresses.admin;
        process.cluster = other_addresses.cluster;
        Ok(process)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(rustix::process::Pid::from_raw);
        if let Some(id) = id {
            // The signal may fail because the process has already ended.
            let _ = rustix::process::kill_process(id, signal);
        }
    }

    /// Starts accounting: processor time from now on counts.
    pub fn start_accounting(&mut self) {
        self.ticks_at_accounting_start = processor_ticks(self.child.id());
    }

    /// The share of one core that the process has used since accounting started, over `accounted_s`
    /// seconds.
    pub fn core_use(&self, index: usize, accounted_s: f64) -> ResourceUse {
        let ticks = processor_ticks(self.child.id()).saturating_sub(self.ticks_at_accounting_start);
        let ticks_per_s = rustix::param::clock_ticks_per_second() as f64;
        let share = ticks as f64 / ticks_per_s / accounted_s;
        ResourceUse { name: format!("n{} core", index + 1), share, bytes: None }
    }

    fn has_exited(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

fn spawn(options: &RouterOptions, files: &RouterFiles) -> io::Result<Child> {
    let config = options.dir.join(format!("{}.json", files.name()));
    std::fs::write(&config, &files.config)?;
    let operator = options.dir.join(format!("{}.operator.json5", files.name()));
    let sections = serde_json::json!({"record": {"dir": options.record}, "fleet": files.cluster_section});
    std::fs::write(&operator, sections.to_string())?;
    Command::new(&options.program)
        .arg("serve")
        .arg("--config")
        .arg(&config)
        // The router exits when this process does, in whatever way that ends.
        .arg("--with-parent")
        .arg("--operator")
        .arg(&operator)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
}

/// The state of the thread that reads a router's log.
struct LogReader {
    router: usize,
    log: File,
    /// Receives the router's addresses when it listens for clients.
    listening: Sender<(SocketAddr, RouterAddresses)>,
    failure_log: FailureLog,
}

impl LogReader {
    fn run(mut self, stderr: ChildStderr) {
        let mut addresses = RouterAddresses::default();
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            // A copy of the log that can't be written does not end the run.
            let _ = writeln!(self.log, "{line}");
            addresses.admin = addresses.admin.or_else(|| address_after(&line, ADMIN_LOG));
            addresses.cluster = addresses.cluster.or_else(|| address_after(&line, CLUSTER_LOG));
            if let Some(address) = address_after(&line, LISTENING_LOG) {
                // Sending fails if the driver has stopped waiting for the start.
                let _ = self.listening.send((address, addresses));
            }
            if line.contains(ROUTER_FAILED_LOG) {
                self.failure_log.push(FailureLogLine { at: Instant::now(), by: self.router, line });
            }
        }
    }
}

fn address_after(line: &str, prefix: &str) -> Option<SocketAddr> {
    line.split_once(prefix)?.1.trim().parse().ok()
}

/// The cluster status from a router's admin endpoint; `None` if it does not answer in time or not
/// with JSON.
pub(super) fn cluster_status(admin: SocketAddr) -> Option<serde_json::Value> {
    let mut socket = TcpStream::connect_timeout(&admin, STATUS_TIMEOUT).ok()?;
    socket.set_read_timeout(Some(STATUS_TIMEOUT)).ok()?;
    socket.write_all(b"GET /status/fleet HTTP/1.1\r\nHost: lab\r\n\r\n").ok()?;
    let mut text = String::new();
    socket.read_to_string(&mut text).ok()?;
    let (_head, body) = text.split_once("\r\n\r\n")?;
    serde_json::from_str(body).ok()
}

/// Shuts routers down in an orderly way, so that their recordings are complete. Those that take
/// longer than the timeout are killed.
pub(super) fn shut_down(mut routers: Vec<RouterProcess>) {
    for router in &routers {
        // A paused process can't handle SIGTERM.
        router.signal(Signal::CONT);
        router.signal(Signal::TERM);
    }
    let deadline = Instant::now() + ROUTER_TIMEOUT;
    while Instant::now() < deadline && !routers.iter_mut().all(RouterProcess::has_exited) {
        std::thread::sleep(EXIT_POLL_INTERVAL);
    }
}

/// The processor time that a process has used, in clock ticks; 0 if the process has ended.
fn processor_ticks(process_id: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap_or_default();
    // The process's name is in brackets and may contain spaces.
    let after_name = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<u64> = after_name.split(' ').map(|field| field.parse().unwrap_or(0)).collect();
    let field = |position: usize| fields.get(position).copied().unwrap_or(0);
    field(STAT_USER_TIME) + field(STAT_SYSTEM_TIME)
}
