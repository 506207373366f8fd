//! Writing: entries go through a bounded queue to a thread that packs them and puts them into files, which are
//! bounded too. Serving never waits: what the queue doesn't take is dropped and counted, and the file says so.

use crate::Time;
use crate::{
    Block, Entry, Head, MemberLine, PurgeLine, Request, BLOCK_MOST, ENTRIES_MOST, MAGIC, MARK, VERSION,
};
use hollymux_router::{ListedEndpoint, RequestSummary};
use std::collections::HashMap;
use std::fs::File;
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What is gathered is written after this long at the latest.
const GATHER: Duration = Duration::from_secs(1);
/// The level at which blocks are packed: the fastest one that packs well.
const LEVEL: i32 = 1;
/// Names of members that are remembered; one more and all are told anew.
const NAMES_MOST: usize = 20_000;
/// The ending of files.
const ENDING: &str = "hmxload";

/// Packs entries into files of a folder, the oldest of which make way.
#[derive(Debug)]
pub struct Sink {
    dir: PathBuf,
    head: Head,
    file_bytes: u64,
    files: usize,
    file: Option<(File, u64)>,
    written: Vec<PathBuf>,
    number: u64,
}

impl Sink {
    /// A sink for a folder, which is made if need be: files of about so many bytes, so many of them.
    ///
    /// # Errors
    /// The folder can't be made or read.
    pub fn new(dir: &Path, head: Head, file_bytes: u64, files: usize) -> io::Result<Sink> {
        std::fs::create_dir_all(dir)?;
        let start = format!("{}-", file_name(&head.router));
        let ours = |p: &PathBuf| {
            let name = p.file_name().and_then(|n| n.to_str()).unwrap_or_default();
            name.starts_with(&start) && name.ends_with(ENDING)
        };
        let all = std::fs::read_dir(dir)?.filter_map(Result::ok).map(|e| e.path());
        let mut written: Vec<PathBuf> = all.filter(ours).collect();
        // The time in the name has a fixed width, so this is their order.
        written.sort();
        Ok(Sink { dir: dir.to_path_buf(), head, file_bytes, files, file: None, written, number: 0 })
    }

    /// Writes a block. After an error the next one begins a new file.
    ///
    /// # Errors
    /// The disk doesn't take it; the entries are lost.
    pub fn put(
        &mut self,
        now: Time,
        names: Vec<String>,
        entries: Vec<Entry>,
        dropped: u64,
    ) -> io::Result<()> {
        let put = self.try_put(now, names, entries, dropped);
        if put.is_err() {
            self.file = None;
        }
        put
    }

    fn try_put(
        &mut self,
        now: Time,
        names: Vec<String>,
        entries: Vec<Entry>,
        dropped: u64,
    ) -> io::Result<()> {
        let begins = self.file.as_ref().is_none_or(|f| f.1 >= self.file_bytes);
        let number = self.number;
        self.number += 1;
        let head = begins.then(|| Head { began: now, ..self.head.clone() });
        let block = Block { number, dropped, head, names, entries };
        let plain = postcard::to_stdvec(&block).map_err(io::Error::other)?;
        let packed = zstd::bulk::compress(&plain, LEVEL)?;
        if packed.len() > BLOCK_MOST {
            return Err(io::Error::other("a block over the bound"));
        }
        if begins {
            self.begin(now)?;
        }
        let Some((file, size)) = &mut self.file else { return Err(io::ErrorKind::NotFound.into()) };
        let mut bytes = Vec::with_capacity(packed.len() + 12);
        bytes.extend_from_slice(&MARK);
        bytes.extend_from_slice(&(packed.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&crc32c::crc32c(&packed).to_le_bytes());
        bytes.extend_from_slice(&packed);
        *size += bytes.len() as u64;
        file.write_all(&bytes)
    }

    fn begin(&mut self, now: Time) -> io::Result<()> {
        while self.written.len() >= self.files.max(1) {
            // One that is gone already has made way.
            let _gone = std::fs::remove_file(self.written.remove(0));
        }
        // The block's number keeps two files of one millisecond apart.
        let name =
            format!("{}-{:016}-{:06}.{ENDING}", file_name(&self.head.router), now / 1_000, self.number);
        let path = self.dir.join(name);
        let mut file = File::create(&path)?;
        file.write_all(&MAGIC)?;
        file.write_all(&VERSION.to_le_bytes())?;
        self.written.push(path);
        self.file = Some((file, 0));
        Ok(())
    }

    /// The files there are.
    pub fn files(&self) -> &[PathBuf] {
        &self.written
    }
}

/// A router's name as a part of a file's name.
fn file_name(router: &str) -> String {
    router.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).collect()
}

enum Word {
    Name(u32, String),
    Entry(Box<Entry>),
}

/// The serving side: hands entries to the thread, never waiting. Dropped, it has the rest written first.
#[derive(Debug)]
pub struct Recorder {
    queue: Option<SyncSender<Word>>,
    names: HashMap<String, u32>,
    dropped: Arc<AtomicU64>,
    /// Waits for room in the queue instead of dropping: for whoever has no clients waiting.
    patient: bool,
    thread: Option<JoinHandle<()>>,
}

impl Recorder {
    /// Starts the thread, with a queue of so many entries.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn start(sink: Sink, queue: usize) -> io::Result<Recorder> {
        let (tx, rx) = sync_channel(queue.max(1));
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        let thread =
            std::thread::Builder::new().name("recorder".into()).spawn(move || work(sink, &rx, &counted))?;
        let (names, patient) = (HashMap::new(), false);
        Ok(Recorder { queue: Some(tx), names, dropped, patient, thread: Some(thread) })
    }

    /// The same, but it waits for the disk and drops nothing.
    ///
    /// # Errors
    /// The thread can't be started.
    pub fn patient(sink: Sink) -> io::Result<Recorder> {
        let mut recorder = Recorder::start(sink, ENTRIES_MOST)?;
        recorder.patient = true;
        Ok(recorder)
    }

    /// Records a closed request.
    pub fn request(&mut self, ended: &RequestSummary) {
        let host = ended.endpoint.as_deref().and_then(|n| self.name(n));
        let source = ended.source.as_deref().and_then(|n| self.name(n));
        self.entry(Entry::Request(Request::new(ended, host, source)));
    }

    /// Records members as they were told.
    pub fn members(&mut self, now: Time, lines: &[ListedEndpoint]) {
        for m in lines {
            match self.name(&m.uid) {
                Some(name) => self.entry(Entry::Member(MemberLine::new(now, m, name))),
                None => self.drop_one(),
            }
        }
    }

    /// Records a purge as it was told.
    pub fn purge(&mut self, now: Time, object: Option<u64>, group: u32) {
        self.entry(Entry::Purge(PurgeLine { at: now, object, group }));
    }

    /// The number of a name, told to the thread when it is new; none if that can't be told now.
    fn name(&mut self, name: &str) -> Option<u32> {
        if let Some(n) = self.names.get(name) {
            return Some(*n);
        }
        if self.names.len() >= NAMES_MOST {
            self.names.clear();
        }
        let n = self.names.len() as u32;
        self.send(Word::Name(n, name.to_string())).then_some(())?;
        self.names.insert(name.to_string(), n);
        Some(n)
    }

    fn entry(&mut self, entry: Entry) {
        if !self.send(Word::Entry(Box::new(entry))) {
            self.drop_one();
        }
    }

    fn drop_one(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }

    /// Hands something to the thread; false if there is no room for it.
    fn send(&self, word: Word) -> bool {
        let Some(queue) = &self.queue else { return false };
        if self.patient {
            return queue.send(word).is_ok();
        }
        let sent = queue.try_send(word);
        debug_assert!(!matches!(sent, Err(TrySendError::Disconnected(_))), "the recorder's thread ended");
        sent.is_ok()
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        // The thread ends with the queue, once it has written what is there.
        self.queue = None;
        if let Some(thread) = self.thread.take() {
            let _ended = thread.join();
        }
    }
}

fn time() -> Time {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or_default()
}

/// The thread: gathers entries and writes them, until the queue ends.
fn work(mut sink: Sink, queue: &Receiver<Word>, dropped: &AtomicU64) {
    let mut names: HashMap<u32, String> = HashMap::new();
    let mut gathered: Vec<Entry> = Vec::new();
    let mut since = Instant::now();
    let mut failing = false;
    loop {
        let word = queue.recv_timeout(GATHER.saturating_sub(since.elapsed()));
        let over = matches!(word, Err(RecvTimeoutError::Disconnected));
        match word {
            Ok(Word::Name(n, name)) => {
                // Entries gathered so far may use that number for another name.
                if names.contains_key(&n) {
                    flush(&mut sink, &names, &mut gathered, dropped, &mut failing);
                }
                names.insert(n, name);
            }
            Ok(Word::Entry(entry)) => gathered.push(*entry),
            Err(_) => {}
        }
        if over || gathered.len() >= ENTRIES_MOST || since.elapsed() >= GATHER {
            flush(&mut sink, &names, &mut gathered, dropped, &mut failing);
            since = Instant::now();
        }
        if over {
            return;
        }
    }
}

/// Writes what was gathered, with just the names that it uses.
fn flush(
    sink: &mut Sink,
    all: &HashMap<u32, String>,
    gathered: &mut Vec<Entry>,
    dropped: &AtomicU64,
    failing: &mut bool,
) {
    let lost = dropped.swap(0, Ordering::Relaxed);
    if gathered.is_empty() && lost == 0 {
        return;
    }
    let mut entries = std::mem::take(gathered);
    let (mut names, mut places) = (Vec::new(), HashMap::new());
    let mut place = |n: u32| {
        *places.entry(n).or_insert_with(|| {
            names.push(all.get(&n).cloned().unwrap_or_default());
            names.len() as u32 - 1
        })
    };
    for entry in &mut entries {
        match entry {
            Entry::Request(r) => {
                r.host = r.host.map(&mut place);
                r.source = r.source.map(&mut place);
            }
            Entry::Member(m) => m.name = place(m.name),
            Entry::Purge(_) => {}
        }
    }
    let count = entries.len() as u64;
    match sink.put(time(), names, entries, lost) {
        Ok(()) => *failing = false,
        Err(e) => {
            dropped.fetch_add(lost + count, Ordering::Relaxed);
            // Once, not with every block of a full disk.
            if !std::mem::replace(failing, true) {
                tracing::warn!("the load can't be recorded: {e}");
            }
        }
    }
}
