//! Records traffic without delaying the thread that serves requests. Entries go through a bounded
//! queue to a thread that writes them. Entries that don't fit into the queue are dropped, and the
//! next block has their number.

use crate::block_writer::RecordingWriter;
use crate::format::{EndpointUpdate, Entry, Micros, PurgeEntry, RequestEntry, MAX_BLOCK_ENTRIES};
use hollymux_router::{ListedEndpoint, RequestSummary};
use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Longest time that an entry waits in memory before it is written. It bounds what a crash loses.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);
/// Most endpoint names that are kept. When it is exceeded, all names are forgotten and sent to the
/// writing thread again.
const MAX_NAMES: usize = 20_000;

/// A message from the serving thread to the writing thread.
enum Message {
    /// Assigns a name to a number, which the entries after this message use.
    Name {
        number: u32,
        name: String,
    },
    Entry(Box<Entry>),
}

/// What a recorder does with a message when the queue is full.
#[derive(Clone, Copy, Debug)]
enum QueueFull {
    /// Drop the message, so that request handling never waits. A dropped entry is counted.
    Drop,
    /// Wait for the writing thread. Only for callers outside of request handling.
    Wait,
}

/// Queues entries for the writing thread. Dropping a recorder waits until all queued entries are
/// written.
#[derive(Debug)]
pub struct Recorder {
    /// The sender of the queue; `None` only while the recorder is being dropped.
    queue: Option<SyncSender<Message>>,
    when_full: QueueFull,
    /// The numbers of the names that were sent to the writing thread.
    names: HashMap<String, u32>,
    /// Number of entries dropped since the last block was written, shared with the writing thread.
    dropped: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

impl Recorder {
    /// Starts the writing thread with a queue of `queue_length` messages. Entries are dropped while
    /// the queue is full.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start(writer: RecordingWriter, queue_length: usize) -> io::Result<Recorder> {
        Recorder::spawn(writer, queue_length, QueueFull::Drop)
    }

    /// Starts the writing thread for a caller that may wait for the disk. No entries are dropped
    /// while the queue is full.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start_blocking(writer: RecordingWriter) -> io::Result<Recorder> {
        Recorder::spawn(writer, MAX_BLOCK_ENTRIES, QueueFull::Wait)
    }

    fn spawn(writer: RecordingWriter, queue_length: usize, when_full: QueueFull) -> io::Result<Recorder> {
        let (sender, receiver) = sync_channel(queue_length.max(1));
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_thread = WriterThread::new(writer, Arc::clone(&dropped));
        let thread = std::thread::Builder::new()
            .name("recorder".into())
            .spawn(move || writer_thread.run(&receiver))?;
        Ok(Recorder { queue: Some(sender), when_full, names: HashMap::new(), dropped, thread: Some(thread) })
    }

    /// Records a request that the router closed.
    pub fn request(&mut self, summary: &RequestSummary) {
        let endpoint = summary.endpoint.as_deref().and_then(|name| self.name_number(name));
        let source = summary.source.as_deref().and_then(|name| self.name_number(name));
        self.entry(Entry::Request(RequestEntry::new(summary, endpoint, source)));
    }

    /// Records changes of the endpoint list that the router received at `now`.
    pub fn endpoint_updates(&mut self, now: Micros, endpoints: &[ListedEndpoint]) {
        for endpoint in endpoints {
            match self.name_number(&endpoint.uid) {
                Some(name) => {
                    let update = EndpointUpdate::new(now, endpoint, name);
                    self.entry(Entry::EndpointUpdate(update));
                }
                None => self.count_dropped(),
            }
        }
    }

    /// Records a purge of one object, or of the whole group if `object` is `None`.
    pub fn purge(&mut self, now: Micros, object: Option<u64>, group: u32) {
        self.entry(Entry::Purge(PurgeEntry { at: now, object, group }));
    }

    /// Returns the number of a name, after sending a new name to the writing thread. Returns `None`
    /// if the queue is full.
    fn name_number(&mut self, name: &str) -> Option<u32> {
        if let Some(number) = self.names.get(name) {
            return Some(*number);
        }
        if self.names.len() >= MAX_NAMES {
            self.names.clear();
        }
        let number = self.names.len() as u32;
        if !self.send(Message::Name { number, name: name.to_string() }) {
            return None;
        }
        self.names.insert(name.to_string(), number);
        Some(number)
    }

    fn entry(&mut self, entry: Entry) {
        if !self.send(Message::Entry(Box::new(entry))) {
            self.count_dropped();
        }
    }

    fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// Sends a message to the writing thread. Returns whether the queue accepted it.
    fn send(&self, message: Message) -> bool {
        let Some(queue) = &self.queue else { return false };
        match self.when_full {
            QueueFull::Wait => queue.send(message).is_ok(),
            QueueFull::Drop => {
                let sent = queue.try_send(message);
                let thread_ended = matches!(sent, Err(TrySendError::Disconnected(_)));
                debug_assert!(!thread_ended, "the writing thread ended before the recorder was dropped");
                sent.is_ok()
            }
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        // Closing the queue ends the thread after it has written the remaining entries.
        self.queue = None;
        if let Some(thread) = self.thread.take() {
            let _result = thread.join();
        }
    }
}

/// The writing thread, which collects entries into blocks.
struct WriterThread {
    writer: RecordingWriter,
    dropped: Arc<AtomicU64>,
    /// The names to which entries refer, by number.
    names: HashMap<u32, String>,
    /// Entries that are not written yet.
    pending: Vec<Entry>,
    last_flush: Instant,
    /// Whether the last block could not be written.
    failing: bool,
}

impl WriterThread {
    fn new(writer: RecordingWriter, dropped: Arc<AtomicU64>) -> WriterThread {
        WriterThread {
            writer,
            dropped,
            names: HashMap::new(),
            pending: Vec::new(),
            last_flush: Instant::now(),
            failing: false,
        }
    }

    /// Collects entries and writes them in blocks, until the queue is closed and empty.
    fn run(mut self, queue: &Receiver<Message>) {
        loop {
            let until_flush = FLUSH_INTERVAL.saturating_sub(self.last_flush.elapsed());
            let received = queue.recv_timeout(until_flush);
            let queue_ended = matches!(received, Err(RecvTimeoutError::Disconnected));
            if let Ok(message) = received {
                self.take(message);
            }
            let block_full = self.pending.len() >= MAX_BLOCK_ENTRIES;
            if queue_ended || block_full || self.last_flush.elapsed() >= FLUSH_INTERVAL {
                self.flush();
                self.last_flush = Instant::now();
            }
            if queue_ended {
                return;
            }
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Entry(entry) => self.pending.push(*entry),
            Message::Name { number, name } => {
                // Pending entries may still use this number for another name.
                if self.names.contains_key(&number) {
                    self.flush();
                }
                self.names.insert(number, name);
            }
        }
    }

    fn flush(&mut self) {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if self.pending.is_empty() && dropped == 0 {
            return;
        }
        let mut entries = std::mem::take(&mut self.pending);
        let names = use_block_indices(&mut entries, &self.names);
        let entry_count = entries.len() as u64;
        match self.writer.write_block(unix_micros(), names, entries, dropped) {
            Ok(()) => self.failing = false,
            Err(error) => {
                self.dropped.fetch_add(dropped + entry_count, Ordering::Relaxed);
                self.report_failure(&error);
            }
        }
    }

    /// Logs the first failed block and not the ones that follow it, for instance on a full disk.
    fn report_failure(&mut self, error: &io::Error) {
        if !self.failing {
            self.failing = true;
            tracing::warn!(%error, "traffic recording can't be written to disk; entries are dropped until it can");
        }
    }
}

/// Replaces the name numbers in the entries by indices into the returned list, which holds the
/// names that the entries use.
fn use_block_indices(entries: &mut [Entry], all_names: &HashMap<u32, String>) -> Vec<String> {
    let mut names = Vec::new();
    let mut indices = HashMap::new();
    let mut index_of = |number: u32| {
        *indices.entry(number).or_insert_with(|| {
            names.push(all_names.get(&number).cloned().unwrap_or_default());
            names.len() as u32 - 1
        })
    };
    for entry in entries {
        match entry {
            Entry::Request(request) => {
                request.endpoint = request.endpoint.map(&mut index_of);
                request.source = request.source.map(&mut index_of);
            }
            Entry::EndpointUpdate(update) => update.name = index_of(update.name),
            Entry::Purge(_) => {}
        }
    }
    names
}

fn unix_micros() -> Micros {
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(since_epoch.unwrap_or_default().as_micros()).unwrap_or_default()
}
