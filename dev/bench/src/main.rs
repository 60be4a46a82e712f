//! `hornbeamrock-bench`: checks and measures a site that is made of stand-ins.

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
