//! The program as a process: started with a configuration, controlled by signals, observed through
//! its log.

use super::{config, temp_file, wait_until, StubFeed, TEST_TIMEOUT};
use std::cell::RefCell;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;

/// A router process that serves requests. It is killed when this value is dropped.
pub struct RouterProcess {
    pub child: Child,
    /// The address for clients.
    pub addr: SocketAddr,
    /// The address for DNS queries; `None` without a DNS front.
    pub dns: Option<SocketAddr>,
    /// The address of the admin endpoint; `None` if it is not configured.
    pub admin: Option<SocketAddr>,
    /// The address for datagrams of other routers; `None` without a cluster.
    pub cluster: Option<SocketAddr>,
    log: Receiver<String>,
    /// Log lines that [`RouterProcess::count_log_lines`] has read and will count again.
    counted_log: RefCell<Vec<String>>,
    dir: PathBuf,
}

/// A command that runs the program with these arguments and configuration, with its standard error
/// piped.
pub fn hollymux_command(config: &Path, args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hollymux"));
    command.args(args).env("NODE_CONFIG", config).stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

/// The addresses that the program logs while it starts.
#[derive(Default)]
struct LoggedAddresses {
    clients: Option<SocketAddr>,
    dns: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    cluster: Option<SocketAddr>,
}

impl LoggedAddresses {
    /// Takes the address from a log line, in text or JSON.
    fn read(&mut self, line: &str) {
        // The address ends at a space in text, and at the quote in JSON.
        let address_after = |text: &str| {
            let rest = line.split_once(text)?.1;
            rest.split([' ', '"']).next()?.parse().ok()
        };
        self.clients = self.clients.or_else(|| address_after("listening on "));
        self.admin = self.admin.or_else(|| address_after("admin endpoint listening address="));
        self.cluster = self.cluster.or_else(|| address_after("cluster socket listening address="));
        self.dns = self.dns.or_else(|| address_after("DNS front listening address="));
    }
}

impl RouterProcess {
    pub fn start(feed: &StubFeed) -> RouterProcess {
        RouterProcess::spawn(&config(feed.addr), &[])
    }

    /// Starts a router with these command-line arguments.
    pub fn with_arguments(feed: &StubFeed, args: &[&str]) -> RouterProcess {
        RouterProcess::spawn(&config(feed.addr), args)
    }

    /// Starts a router with this limit on its file descriptors.
    pub fn with_socket_limit(feed: &StubFeed, sockets: u32) -> RouterProcess {
        let limit = format!("\"sockets\":{sockets}");
        RouterProcess::spawn(&config(feed.addr).replace("\"sockets\":1024", &limit), &[])
    }

    /// Starts a router with this configuration.
    pub fn with_config(config: &str) -> RouterProcess {
        RouterProcess::spawn(config, &[])
    }

    /// Starts routers with these configurations at the same time, and returns them in that order.
    pub fn start_all(configs: &[String]) -> Vec<RouterProcess> {
        let start = |config: &String| {
            let config = config.clone();
            thread::spawn(move || RouterProcess::with_config(&config))
        };
        let starting: Vec<_> = configs.iter().map(start).collect();
        starting.into_iter().map(|thread| thread.join().unwrap()).collect()
    }

    /// Starts a router with these fields in the `dns` section of its operator's file.
    pub fn with_dns(feed: &StubFeed, dns: &str) -> RouterProcess {
        RouterProcess::with_operator_file(feed, &format!("{{dns: {{{dns}}}}}"))
    }

    pub fn with_operator_file(feed: &StubFeed, text: &str) -> RouterProcess {
        RouterProcess::with_config_and_operator_file(&config(feed.addr), text)
    }

    pub fn with_config_and_operator_file(config: &str, text: &str) -> RouterProcess {
        let operator = temp_file("operator.json5", text);
        RouterProcess::spawn(config, &["serve", "--operator", operator.to_str().unwrap()])
    }

    /// Starts a router with an environment variable set.
    pub fn with_environment(config: &str, name: &str, value: &str) -> RouterProcess {
        let path = temp_file("config.json", config);
        let mut command = hollymux_command(&path, &[]);
        RouterProcess::wait_for_start(command.env_remove("TMPDIR").env(name, value), &path)
    }

    /// Starts a router that hands over to, or takes over from, another one through a socket in
    /// `dir`.
    pub fn with_handover_dir(config: &str, dir: &Path) -> RouterProcess {
        let path = temp_file("config.json", config);
        let mut command = hollymux_command(&path, &[]);
        RouterProcess::wait_for_start(command.env("TMPDIR", dir), &path)
    }

    /// Starts a router like [`RouterProcess::with_handover_dir`], with an operator's file.
    pub fn with_operator_file_and_handover_dir(config: &str, text: &str, dir: &Path) -> RouterProcess {
        let path = temp_file("config.json", config);
        let operator = temp_file("operator.json5", text);
        let mut command = hollymux_command(&path, &["serve", "--operator", operator.to_str().unwrap()]);
        RouterProcess::wait_for_start(command.env("TMPDIR", dir), &path)
    }

    fn spawn(config: &str, args: &[&str]) -> RouterProcess {
        let path = temp_file("config.json", config);
        RouterProcess::wait_for_start(hollymux_command(&path, args).env_remove("TMPDIR"), &path)
    }

    /// Starts the program and waits until it has logged its address for clients.
    fn wait_for_start(command: &mut Command, config: &Path) -> RouterProcess {
        let mut child = command.spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (sender, log) = channel();
        thread::spawn(move || stderr.lines().map_while(Result::ok).all(|line| sender.send(line).is_ok()));
        let mut addresses = LoggedAddresses::default();
        let mut log_lines = Vec::new();
        while addresses.clients.is_none() {
            let line = log.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|error| {
                let exit_status = child.try_wait();
                panic!(
                    "the program logged no address for clients: {error}, exit status {exit_status:?}, log {log_lines:#?}"
                )
            });
            addresses.read(&line);
            log_lines.push(line);
        }
        RouterProcess {
            child,
            addr: addresses.clients.unwrap(),
            dns: addresses.dns,
            admin: addresses.admin,
            cluster: addresses.cluster,
            log,
            counted_log: RefCell::default(),
            dir: config.parent().unwrap().to_path_buf(),
        }
    }

    /// Sends a signal such as `-TERM` to the process.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(status.success(), "kill {name} failed");
    }

    /// Overwrites the router's configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(self.dir.join("config.json"), config).unwrap();
        self.signal("-HUP");
    }

    /// The anonymous memory of the process that is in RAM, in bytes.
    pub fn anonymous_memory_bytes(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:")).unwrap();
        line.trim().strip_suffix(" kB").unwrap().parse::<u64>().unwrap() * 1_024
    }

    /// Number of open descriptors of the process.
    pub fn descriptor_count(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// Stops the process with SIGSTOP. Data that arrives for it stays in the kernel's buffers.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let is_stopped = |stat: String| {
            let state = stat.rsplit_once(')').map(|(_, fields)| fields.trim_start().to_string());
            state.is_some_and(|state| state.starts_with('T'))
        };
        wait_until("the process to be paused", || {
            is_stopped(std::fs::read_to_string(&stat).unwrap()).then_some(())
        });
    }

    /// Lets a paused process continue.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Waits for a log line that contains `text`, and discards the lines before it.
    pub fn wait_for_log(&self, text: &str) -> String {
        wait_until(text, || self.log.try_iter().find(|line| line.contains(text)))
    }

    /// Counts the log lines that contain `text`, except those already discarded by
    /// [`RouterProcess::wait_for_log`].
    pub fn count_log_lines(&self, text: &str) -> usize {
        let mut counted = self.counted_log.borrow_mut();
        counted.extend(self.log.try_iter());
        counted.iter().filter(|line| line.contains(text)).count()
    }

    /// Waits until the process has exited. Returns its exit status and the log lines not read yet.
    pub fn wait_for_exit(&mut self) -> (ExitStatus, Vec<String>) {
        let status = wait_until("the exit of the program", || self.child.try_wait().unwrap());
        // Read to the end of the stream, since the thread that reads it may lag behind the process.
        (status, self.log.iter().collect())
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
        let _removed = std::fs::remove_dir_all(&self.dir);
    }
}
