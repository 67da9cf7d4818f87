//! Sends requests that crash each engine that runs them.

use std::cell::Cell;
use std::time::Duration;

use awc::Client;
use fulmargate_names as names;
use fulmargate_names::ErrorKind;
use serde_json::json;
use tokio::time::sleep;

const SENDS_AT_MOST: usize = 6;
const PAUSE: Duration = Duration::from_millis(150);
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// A caller that sends a crashing request again and again, each time at another router, until it
/// is told that the request crashes servers.
pub struct PoisonCaller {
    client: Client,
    routers: Vec<String>,
    key: String,
    model: String,
    marker: String,
    requests: Cell<usize>,
    sends: Cell<usize>,
    convicted: Cell<usize>,
}

impl PoisonCaller {
    /// A caller with this API key; engines crash on the marker.
    pub fn new(routers: Vec<String>, key: &str, model: &str, marker: &str) -> PoisonCaller {
        PoisonCaller {
            client: Client::builder().timeout(SEND_TIMEOUT).finish(),
            routers,
            key: key.to_owned(),
            model: model.to_owned(),
            marker: marker.to_owned(),
            requests: Cell::new(0),
            sends: Cell::new(0),
            convicted: Cell::new(0),
        }
    }

    /// Requests, sends of them, and those of them that were convicted.
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.requests.get(), self.sends.get(), self.convicted.get())
    }

    pub(super) async fn send_until_refused(&self) {
        let request = self.requests.get();
        self.requests.set(request + 1);
        let text = format!("{} number {request}", self.marker);
        let body = json!({
            "model": self.model,
            "messages": [{ "role": "user", "content": text }],
            "max_tokens": 4,
        });
        for send in 0..SENDS_AT_MOST {
            let router = &self.routers[(request + send) % self.routers.len()];
            self.sends.set(self.sends.get() + 1);
            let url = format!("http://{router}/v1/chat/completions");
            let answer = self.client.post(url).bearer_auth(&self.key).send_json(&body).await;
            let code = answer.ok().and_then(|answer| {
                Some(answer.headers().get(names::ERROR)?.to_str().ok()?.to_owned())
            });
            if code.as_deref() == Some(ErrorKind::CrashingRequest.row().code) {
                self.convicted.set(self.convicted.get() + 1);
                return;
            }
            sleep(PAUSE).await;
        }
    }
}
