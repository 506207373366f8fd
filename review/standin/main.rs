//! The stand-ins of the review's cases: `standin CASE RECORD` plays one case against the project's
//! own router. It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.

mod buffers;
mod common;
mod memory;
mod settings;
mod tags;
mod usual;

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What a case is given.
pub struct Setup {
    /// Whether the disruption takes place.
    pub trouble: bool,
    /// A folder for configurations and logs, which is removed afterwards.
    pub temp: PathBuf,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        exit(2, "the case takes too long");
    });
    let temp = std::env::temp_dir().join(format!("hollymux-review-{}", std::process::id()));
    let case = case.clone();
    let record = PathBuf::from(record);
    let played = {
        let temp = temp.clone();
        std::thread::spawn(move || play(&case, &record, temp)).join()
    };
    let _removed = std::fs::remove_dir_all(&temp);
    match played {
        Ok(Ok(code)) => exit(code, ""),
        Ok(Err(error)) => exit(2, &format!("the case couldn't run: {error}")),
        Err(_) => exit(2, "the case couldn't run: a stand-in panicked"),
    }
}

fn exit(code: i32, message: &str) -> ! {
    if !message.is_empty() {
        log!("{message}");
        eprintln!("{message}");
    }
    common::end_children();
    std::process::exit(code);
}

fn play(case: &str, record: &Path, temp: PathBuf) -> io::Result<i32> {
    std::fs::create_dir_all(&temp)?;
    common::open_record(record)?;
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    log!("case {case}, {} the disruption", if trouble { "with" } else { "without" });
    let setup = Setup { trouble, temp };
    let verdict = match case {
        "tags" => tags::play(&setup)?,
        "memory" => memory::play(&setup)?,
        "buffers" => buffers::play(&setup)?,
        _ => return Err(io::Error::other("no such case")),
    };
    Ok(common::conclude(&verdict))
}
