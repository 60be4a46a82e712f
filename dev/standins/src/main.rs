//! Runs stand-ins from the command line, such as
//! `hornbeamrock-standins log --listen 127.0.0.1:7000`.

mod cli;
mod run;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    match run::run(&matches) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error={error}");
            ExitCode::FAILURE
        }
    }
}
