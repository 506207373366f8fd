//! The simulator adapter as a process: batches on standard input, replies on standard output.

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
