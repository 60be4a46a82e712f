//! `hornbeamrockctl`: what operators do from their own workstation.

mod cli;
mod cmd;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match cmd::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("hornbeamrockctl: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}
