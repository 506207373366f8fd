//! One router's process: its start, its log, its signals and its use of the processor.

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

/// A router says where it listens within this, and ends within this, or it counts as failed.
const ROUTER_TIMEOUT: Duration = Duration::from_secs(10);
/// The admin endpoint of a router on this machine answers within this.
const STATUS_TIMEOUT: Duration = Duration::from_millis(200);
/// From one look whether routers have ended to the next.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Positions of the user and system time among the fields of `/proc/PID/stat` behind the process's
/// name.
const STAT_USER_TIME: usize = 11;
const STAT_SYSTEM_TIME: usize = 12;

/// What a router's log names its addresses by.
const LISTENING_LOG: &str = "listening on ";
const ADMIN_LOG: &str = "admin endpoint listening address=";
const CLUSTER_LOG: &str = "cluster socket listening address=";
/// What a router's log says of a lost router; its address follows.
const LOST_LOG: &str = "cluster: router failed";

/// A line of a router's log that says that another router is lost.
pub(super) struct LostLogLine {
    pub at: Instant,
    /// Whose log it is.
    pub by: usize,
    line: String,
}

impl LostLogLine {
    /// Whether it is the router at this address that is lost.
    pub fn names(&self, address: SocketAddr) -> bool {
        self.line.contains(&format!(" address={address} "))
    }
}

/// Lines that the routers' logs had of lost routers, filled by the threads that read the logs.
#[derive(Clone, Default)]
pub(super) struct LostLog(Arc<Mutex<Vec<LostLogLine>>>);

impl LostLog {
    fn push(&self, line: LostLogLine) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }

    /// Takes all lines so far.
    pub fn take(&self) -> Vec<LostLogLine> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Where a router listens, as its log says.
#[derive(Clone, Copy, Default)]
struct RouterAddresses {
    admin: Option<SocketAddr>,
    cluster: Option<SocketAddr>,
}

/// A router process; it ends with this value.
pub(super) struct RouterProcess {
    child: Child,
    /// Where clients are served.
    pub address: SocketAddr,
    /// The admin endpoint, and where datagrams of other routers are received, if configured.
    pub admin: Option<SocketAddr>,
    pub cluster: Option<SocketAddr>,
    /// It was killed by a fault.
    pub dead: bool,
    /// Connections of clients to it, by token.
    pub connections: Vec<usize>,
    /// Ticks of processor time that it had used when accounting started.
    ticks_before: u64,
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        // One that has ended by itself needs neither.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The files and sections that a router is started with.
pub(super) struct RouterFiles {
    pub index: usize,
    pub config: String,
    /// The cluster section of the operator's file; null for none.
    pub cluster_section: serde_json::Value,
}

impl RouterFiles {
    fn name(&self) -> String {
        format!("n{}", self.index + 1)
    }
}

impl RouterProcess {
    /// Starts a router and waits until it listens.
    pub fn start(
        options: &RouterOptions,
        files: &RouterFiles,
        lost_log: LostLog,
    ) -> Result<RouterProcess, MultiProcessError> {
        let failed = |source| MultiProcessError::RouterStart { router: files.name(), source };
        let mut child = spawn(options, files).map_err(failed)?;
        let stderr = child.stderr.take().ok_or_else(|| failed(ErrorKind::BrokenPipe.into()))?;
        // The child ends with this value, also if it never comes up.
        let mut process = RouterProcess {
            child,
            address: any_loopback_port(),
            admin: None,
            cluster: None,
            dead: false,
            connections: Vec::new(),
            ticks_before: 0,
        };
        let log_path = options.dir.join(format!("{}.log", files.name()));
        let log = File::options().create(true).append(true).open(log_path).map_err(failed)?;
        let (listening, started) = channel();
        let reader = LogReader { router: files.index, log, listening, lost_log };
        std::thread::Builder::new()
            .name(format!("log of {}", files.name()))
            .spawn(move || reader.run(stderr))
            .map_err(failed)?;
        let (address, others) = started
            .recv_timeout(ROUTER_TIMEOUT)
            .map_err(|_| MultiProcessError::RouterSilent { router: files.name() })?;
        process.address = address;
        process.admin = others.admin;
        process.cluster = others.cluster;
        Ok(process)
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).ok().and_then(rustix::process::Pid::from_raw);
        if let Some(id) = id {
            // One that has ended needs none.
            let _ = rustix::process::kill_process(id, signal);
        }
    }

    /// From now on its use of the processor counts.
    pub fn start_accounting(&mut self) {
        self.ticks_before = processor_ticks(self.child.id());
    }

    /// How much of a core it used in the seconds that count.
    pub fn core_use(&self, index: usize, counted_s: f64) -> ResourceUse {
        let ticks = processor_ticks(self.child.id()).saturating_sub(self.ticks_before);
        let ticks_per_s = rustix::param::clock_ticks_per_second() as f64;
        let part = ticks as f64 / ticks_per_s / counted_s;
        ResourceUse { name: format!("n{} core", index + 1), part, bytes: None }
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
        // Its end follows that of this process, however that ends.
        .arg("--with-parent")
        .arg("--operator")
        .arg(&operator)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
}

/// The thread that reads a router's log.
struct LogReader {
    router: usize,
    log: File,
    /// Where it reports that the router listens.
    listening: Sender<(SocketAddr, RouterAddresses)>,
    lost_log: LostLog,
}

impl LogReader {
    fn run(mut self, stderr: ChildStderr) {
        let mut others = RouterAddresses::default();
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            // A log that can't be written is no reason to end the run.
            let _ = writeln!(self.log, "{line}");
            others.admin = others.admin.or_else(|| address_after(&line, ADMIN_LOG));
            others.cluster = others.cluster.or_else(|| address_after(&line, CLUSTER_LOG));
            if let Some(address) = address_after(&line, LISTENING_LOG) {
                // Nobody waits any more if it comes too late.
                let _ = self.listening.send((address, others));
            }
            if line.contains(LOST_LOG) {
                self.lost_log.push(LostLogLine { at: Instant::now(), by: self.router, line });
            }
        }
    }
}

fn address_after(line: &str, words: &str) -> Option<SocketAddr> {
    line.split_once(words)?.1.trim().parse().ok()
}

/// The status of the cluster from a router's admin endpoint; none if it does not answer in time.
pub(super) fn cluster_status(admin: SocketAddr) -> Option<serde_json::Value> {
    let mut socket = TcpStream::connect_timeout(&admin, STATUS_TIMEOUT).ok()?;
    socket.set_read_timeout(Some(STATUS_TIMEOUT)).ok()?;
    socket.write_all(b"GET /status/fleet HTTP/1.1\r\nHost: lab\r\n\r\n").ok()?;
    let mut text = String::new();
    socket.read_to_string(&mut text).ok()?;
    let (_head, body) = text.split_once("\r\n\r\n")?;
    serde_json::from_str(body).ok()
}

/// Lets routers end by themselves, so that their recordings are complete; those that take too long
/// are killed.
pub(super) fn shut_down(mut routers: Vec<RouterProcess>) {
    for router in &routers {
        // One that is paused can't act on SIGTERM.
        router.signal(Signal::CONT);
        router.signal(Signal::TERM);
    }
    let deadline = Instant::now() + ROUTER_TIMEOUT;
    while Instant::now() < deadline && !routers.iter_mut().all(RouterProcess::has_exited) {
        std::thread::sleep(EXIT_POLL_INTERVAL);
    }
}

/// Ticks of processor time that a process has used; 0 if it is gone.
fn processor_ticks(process_id: u32) -> u64 {
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap_or_default();
    // The process's name stands in brackets and may hold spaces.
    let behind_name = stat.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<u64> = behind_name.split(' ').map(|field| field.parse().unwrap_or(0)).collect();
    let field = |position: usize| fields.get(position).copied().unwrap_or(0);
    field(STAT_USER_TIME) + field(STAT_SYSTEM_TIME)
}
