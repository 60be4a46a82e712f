//! `hornbeamrock-ablate`: measures the effect of each mechanism on the bench's result.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match cmd::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hornbeamrock-ablate: {error}");
            ExitCode::FAILURE
        }
    }
}
