//! Rolls a model back: the operator raises the epoch, which invalidates every weight announcement
//! made before.

use std::net::SocketAddr;

use adapters::Request;
use bytes::Bytes;
use serde::Serialize;
use types::{ServiceName, WeightVersion};

use crate::ControlError;
use crate::fleet::exchange;

const STATUS_OK: u16 = 200;

/// Parameters of a rollback.
pub struct Rollback<'a> {
    /// Public address of any entry.
    pub entry: SocketAddr,
    /// Bearer token with the operator role.
    pub token: &'a str,
    /// Model to roll back.
    pub service: &'a ServiceName,
    /// Version to serve from now on, under a new epoch.
    pub version: WeightVersion,
}

#[derive(Serialize)]
struct RollbackBody {
    version: String,
}

/// Rolls the model back and returns the entry's answer. Fails if the entry refuses.
pub async fn roll_back(rollback: &Rollback<'_>) -> Result<String, ControlError> {
    let body = RollbackBody {
        version: rollback.version.to_string(),
    };
    let body = serde_json::to_vec(&body)
        .map_err(|reason| ControlError::Malformed(rollback.entry, reason))?;
    let path = format!("/v1/training/{}/rollback", rollback.service);
    let request = Request {
        headers: vec![
            (
                "authorization".to_owned(),
                format!("Bearer {}", rollback.token),
            ),
            ("content-type".to_owned(), "application/json".to_owned()),
        ],
        body: Bytes::from(body),
        ..Request::new("POST", path)
    };
    let answer = exchange(rollback.entry, request, STATUS_OK).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}
