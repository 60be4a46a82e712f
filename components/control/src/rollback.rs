//! Rolling a model back: the operator raises the epoch, so that no announcement made
//! before it counts any more.

use std::net::SocketAddr;

use adapters::Request;
use bytes::Bytes;
use serde::Serialize;
use types::{ServiceName, WeightVersion};

use crate::ControlError;
use crate::fleet::exchange;

const STATUS_OK: u16 = 200;

/// What to roll back.
pub struct Rollback<'a> {
    /// Public address of any entry.
    pub entry: SocketAddr,
    /// The operator's token.
    pub token: &'a str,
    /// The model.
    pub service: &'a ServiceName,
    /// Version to serve from now on, under a new epoch.
    pub version: WeightVersion,
}

#[derive(Serialize)]
struct RollbackBody {
    version: String,
}

/// Rolls back; gives the entry's answer. Errors when it is refused.
pub async fn roll_back(rollback: &Rollback<'_>) -> Result<String, ControlError> {
    let wanted = RollbackBody {
        version: rollback.version.to_string(),
    };
    let body = serde_json::to_vec(&wanted)
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
