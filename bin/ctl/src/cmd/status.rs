//! `status`: shows the status of processes.

use clap::ArgMatches;
use control::{ControlError, NodeStatus, StatusReply, statuses};
use serde::Serialize;
use settings::{addresses, required_text};

use super::error::CommandError;
use crate::output::{OutputFormat, print_json, print_table};

/// Allowed values of `--admin`, as error messages state them.
pub const ADMIN_EXPECTED: &str =
    "admin addresses separated by commas, such as 127.0.0.1:7102,127.0.0.1:7112";

#[derive(Serialize)]
struct Row<'a> {
    admin: String,
    status: Option<&'a NodeStatus>,
    error: Option<String>,
}

/// Queries all processes and prints a row for each, also for those that do not answer. If a process
/// did not answer, the command then fails with the error of the first such process.
pub async fn run(flags: &ArgMatches) -> Result<(), CommandError> {
    let format = OutputFormat::from_flags(flags)?;
    required_text(flags, "admin", ADMIN_EXPECTED)?;
    let replies = statuses(&addresses(flags, "admin")?).await;
    match format {
        OutputFormat::Json => print_json(&replies.iter().map(json_row).collect::<Vec<_>>()),
        OutputFormat::Table => {
            let rows: Vec<_> = replies.iter().map(row).collect();
            print_table(
                [
                    "admin",
                    "node",
                    "role",
                    "failure domain",
                    "state",
                    "calls",
                    "config",
                    "weights",
                ],
                &rows,
            );
        }
    }
    match replies.into_iter().find_map(|reply| reply.status.err()) {
        Some(error) => Err(error.into()),
        None => Ok(()),
    }
}

fn json_row(reply: &StatusReply) -> Row<'_> {
    Row {
        admin: reply.address.to_string(),
        status: reply.status.as_ref().ok(),
        error: reply.status.as_ref().err().map(ControlError::to_string),
    }
}

fn row(reply: &StatusReply) -> [String; 8] {
    let admin = reply.address.to_string();
    let dash = || "-".to_owned();
    match &reply.status {
        Err(_) => [
            admin,
            dash(),
            dash(),
            dash(),
            "no answer".to_owned(),
            dash(),
            dash(),
            dash(),
        ],
        Ok(status) => [
            admin,
            status.node.clone(),
            status.role.clone(),
            status.failure_domain.clone(),
            if status.leaving { "leaving" } else { "live" }.to_owned(),
            status.in_progress.to_string(),
            versions(status),
            weights(status),
        ],
    }
}

fn versions(status: &NodeStatus) -> String {
    let rows = status
        .config
        .iter()
        .map(|row| format!("{}={}", row.customer, row.version));
    rows.collect::<Vec<_>>().join(" ")
}

fn weights(status: &NodeStatus) -> String {
    let rows = status.hosted.iter().map(|row| {
        let version = row.version.as_deref().unwrap_or("plain");
        format!("{}.{}={version}", row.customer, row.service)
    });
    rows.collect::<Vec<_>>().join(" ")
}
