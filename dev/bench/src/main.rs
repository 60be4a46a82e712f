//! `hornbeamrock-bench`: shows and measures what a site of stand-ins does.

mod cli;
mod run;

use std::process::ExitCode;

fn main() -> ExitCode {
    match run::run(&cli::command().get_matches()) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("hornbeamrock-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
