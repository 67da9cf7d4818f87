//! The control side of stand-ins: faults, and what the judge asks them afterwards.

use std::collections::HashMap;

use awc::Client;
use fulmargate_stand::FaultOrder;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::load_error::LoadError;

const EFFECTS_LIMIT: usize = 64 << 20;

/// A client of the stand-ins' control paths.
#[derive(Default)]
pub struct StandControl {
    client: Client,
}

/// What a stand-in says of its lives.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct StandCounts {
    /// Crashes so far.
    pub crashes: u64,
    /// Work that it was given more than the grace after it began to leave.
    pub late_work: u64,
}

impl StandControl {
    /// Brings faults about at one stand-in.
    pub async fn order(&self, address: &str, order: &FaultOrder) -> Result<(), LoadError> {
        let url = format!("http://{address}/faults");
        let answer = self.client.post(&url).send_json(order).await;
        let answer = answer.map_err(|error| unanswered(address, &error.to_string()))?;
        match answer.status().is_success() {
            true => Ok(()),
            false => Err(unanswered(address, answer.status().as_str())),
        }
    }

    /// What became of a stand-in so far.
    pub async fn counts(&self, address: &str) -> Result<StandCounts, LoadError> {
        self.get(address, "/faults").await
    }

    /// Effects by idempotency key of a replica of the plain service.
    pub async fn effects(&self, address: &str) -> Result<HashMap<String, u64>, LoadError> {
        self.get(address, "/effects").await
    }

    async fn get<T: DeserializeOwned>(&self, address: &str, path: &str) -> Result<T, LoadError> {
        let answer = self.client.get(format!("http://{address}{path}")).send().await;
        let mut answer = answer.map_err(|error| unanswered(address, &error.to_string()))?;
        let body = answer.json().limit(EFFECTS_LIMIT).await;
        body.map_err(|error| unanswered(address, &error.to_string()))
    }
}

fn unanswered(address: &str, reason: &str) -> LoadError {
    LoadError::Unanswered { address: address.to_owned(), reason: reason.to_owned() }
}
