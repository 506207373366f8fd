//! The request router: reads its configuration and serves until it is told to stop.

use hollymux::config::Config;
use hollymux::net::Driver;
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("hollymux: {}", e.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn std::error::Error>> {
    let path = std::env::var("NODE_CONFIG").map_err(|_| "NODE_CONFIG names no configuration")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("configuration {path}: {e}"))?;
    let config = Config::read(&text).map_err(|e| format!("configuration {path}: {e}"))?;
    let mut driver = Driver::new(config)?;
    eprintln!("hollymux: listening on {}", driver.listens_at()?);
    driver.run()?;
    Ok(())
}
