//! The program as a process: started with a configuration, controlled by signals, read by its log.

use super::{config, temp_file, wait_until, StubFeed, TEST_TIMEOUT};
use std::cell::RefCell;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;

/// A serving router. It is killed when this value is dropped.
pub struct RouterProcess {
    pub child: Child,
    /// Where clients connect.
    pub addr: SocketAddr,
    /// Where DNS is served, if it is.
    pub dns: Option<SocketAddr>,
    /// Its admin endpoint, if it has one.
    pub admin: Option<SocketAddr>,
    /// Where it receives datagrams of other routers, if it does.
    pub cluster: Option<SocketAddr>,
    log: Receiver<String>,
    /// Lines of the log that were counted and can be counted again.
    counted_log: RefCell<Vec<String>>,
    dir: PathBuf,
}

/// The program with these arguments. Its configuration is at that path, its log can be read.
pub fn hollymux_command(config: &Path, args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hollymux"));
    command.args(args).env("NODE_CONFIG", config).stdout(Stdio::null()).stderr(Stdio::piped());
    command
}

/// Addresses that the program logs while it starts.
#[derive(Default)]
struct LoggedAddresses {
    clients: Option<SocketAddr>,
    dns: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    cluster: Option<SocketAddr>,
}

impl LoggedAddresses {
    /// Reads a line of the log, which may be text or JSON.
    fn read(&mut self, line: &str) {
        // The address ends at a space in text, at the quote in JSON.
        let address_after = |words: &str| {
            let rest = line.split_once(words)?.1;
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

    /// A router with these arguments on its command line.
    pub fn with_arguments(feed: &StubFeed, args: &[&str]) -> RouterProcess {
        RouterProcess::spawn(&config(feed.addr), args)
    }

    /// A router that may have so many descriptors.
    pub fn with_socket_limit(feed: &StubFeed, sockets: u32) -> RouterProcess {
        let limit = format!("\"sockets\":{sockets}");
        RouterProcess::spawn(&config(feed.addr).replace("\"sockets\":1024", &limit), &[])
    }

    /// A router with this configuration.
    pub fn with_config(config: &str) -> RouterProcess {
        RouterProcess::spawn(config, &[])
    }

    /// Routers with these configurations, started all at once, in that order.
    pub fn start_all(configs: &[String]) -> Vec<RouterProcess> {
        let start = |config: &String| {
            let config = config.clone();
            thread::spawn(move || RouterProcess::with_config(&config))
        };
        let starting: Vec<_> = configs.iter().map(start).collect();
        starting.into_iter().map(|thread| thread.join().unwrap()).collect()
    }

    /// A router with these fields of the section `dns`.
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

    /// A router with a variable of its environment set.
    pub fn with_environment(config: &str, name: &str, value: &str) -> RouterProcess {
        let path = temp_file("config.json", config);
        let mut command = hollymux_command(&path, &[]);
        RouterProcess::wait_for_start(command.env_remove("TMPDIR").env(name, value), &path)
    }

    /// A router that hands over to another one, or takes over from it, by a socket in that
    /// directory.
    pub fn with_handover_dir(config: &str, dir: &Path) -> RouterProcess {
        let path = temp_file("config.json", config);
        let mut command = hollymux_command(&path, &[]);
        RouterProcess::wait_for_start(command.env("TMPDIR", dir), &path)
    }

    /// The same with this operator's file.
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

    /// Starts the program and waits until it serves.
    fn wait_for_start(command: &mut Command, config: &Path) -> RouterProcess {
        let mut child = command.spawn().unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        let (sender, log) = channel();
        thread::spawn(move || stderr.lines().map_while(Result::ok).all(|line| sender.send(line).is_ok()));
        let mut addresses = LoggedAddresses::default();
        let mut written = Vec::new();
        while addresses.clients.is_none() {
            let line = log.recv_timeout(TEST_TIMEOUT).unwrap_or_else(|error| {
                let ended = child.try_wait();
                panic!(
                    "the program does not say where it listens: {error}, {ended:?}, it wrote: {written:#?}"
                )
            });
            addresses.read(&line);
            written.push(line);
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

    /// Sends a signal such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(done.success());
    }

    /// Writes another configuration in the place of its own, and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        std::fs::write(self.dir.join("config.json"), config).unwrap();
        self.signal("-HUP");
    }

    /// Stops the process; what arrives meanwhile waits in the system.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        let is_stopped = |stat: String| {
            let state = stat.rsplit_once(')').map(|(_, fields)| fields.trim_start().to_string());
            state.is_some_and(|state| state.starts_with('T'))
        };
        wait_until("the process to be stopped", || {
            is_stopped(std::fs::read_to_string(&stat).unwrap()).then_some(())
        });
    }

    /// Continues it.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Waits for a line of its log that contains these words, and passes over those before it.
    pub fn wait_for_log(&self, words: &str) -> String {
        wait_until(words, || self.log.try_iter().find(|line| line.contains(words)))
    }

    /// How many lines of its log so far contain these words, but for those that
    /// [`RouterProcess::wait_for_log`] has passed.
    pub fn count_log_lines(&self, words: &str) -> usize {
        let mut counted = self.counted_log.borrow_mut();
        counted.extend(self.log.try_iter());
        counted.iter().filter(|line| line.contains(words)).count()
    }

    /// Waits until it has ended: its exit status, and the lines of its log that were not read yet.
    pub fn wait_for_exit(&mut self) -> (ExitStatus, Vec<String>) {
        let status = wait_until("the program's end", || self.child.try_wait().unwrap());
        // To the end of the stream: the thread that reads the log may be behind the process.
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
