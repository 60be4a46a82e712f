//! `hornbeamrockctl`: command-line tool with which operators publish configuration and inspect and
//! control processes.

mod cli;
mod cmd;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match cmd::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hornbeamrockctl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
