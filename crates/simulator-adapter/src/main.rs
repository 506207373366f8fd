//! The simulator adapter as a process. It reads batches from standard input and writes replies to
//! standard output. On an error, it prints a message to standard error and exits with a failure
//! code.

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match hollymux_simulator_adapter::adapter::run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hollymux-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
