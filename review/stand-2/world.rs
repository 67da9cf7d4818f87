//! What the cases share: the configuration, requests, the record.

use std::env;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;
use std::time::Instant;

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |text| text != "0")
}

/// What was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record { file: Mutex::new(File::create(path)?), began: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.began.elapsed().as_secs_f64());
        if let Err(err) = self.file.lock().unwrap().write_all(line.as_bytes()) {
            eprintln!("record: {err}");
        }
    }

    /// Time since the play began.
    pub fn now_ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    pub fn both(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// A folder that is removed on drop.
pub struct WorkFolder(pub PathBuf);

impl WorkFolder {
    pub fn create(case: &str) -> io::Result<WorkFolder> {
        let folder = env::temp_dir().join(format!("fulmargate-review-{case}-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        Ok(WorkFolder(folder))
    }
}

impl Drop for WorkFolder {
    fn drop(&mut self) {
        if env::var("KEEP").is_ok() {
            println!("kept {}", self.0.display());
        } else if let Err(err) = fs::remove_dir_all(&self.0) {
            eprintln!("work folder: {err}");
        }
    }
}

/// A configuration like that of a small deployment: prompts on an engine service, calls on a plain one. The limits are
/// those of the users' pages.
pub fn config(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32, target: u32, resumable: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"pathPrefix\":\"/svc/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout},\"targetLatencyMs\":{target},\"priority\":1,\"service\":\"{service}\",\
             \"maxAttempts\":2,\"anonymous\":false,\"sticky\":{},\"resumable\":{resumable},\"gapAimMs\":500}}",
            service == "engines"
        )
    };
    let routes = [
        route("chat", "stream", "engines", 12_000, 500, true),
        route("tag", "stream", "engines", 5_000, 800, false),
        route("pay", "non_idempotent", "desk", 600, 100, false),
        route("read", "idempotent", "desk", 600, 100, false),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"engines\",\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvCapacityTokens\":95978,\"kvTokenBytes\":163840,\"linkMbps\":530000.0,\
         \"moves\":true,\"backups\":true,\"stride\":6,\"maxInFlight\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\
         \"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"red\",\"apiKeys\":[\"key-red\"],\"isolated\":false}},\
         {{\"name\":\"blue\",\"apiKeys\":[\"key-blue\"],\"isolated\":false}}]}}",
        routes.join(",")
    )
}

/// A request of a client. `prompt` is the list of its parts; empty for a call of a plain service.
pub fn request(route: &str, id: &str, key: &str, patience_ms: u64, prompt: &str) -> Vec<u8> {
    let method = if route == "read" { "GET" } else { "POST" };
    let mut text = format!(
        "{method} /svc/{route}/x HTTP/1.1\r\nHost: shop.example\r\nFulmargate-Request-Id: {id}\r\n\
         Fulmargate-Request-Deadline: {patience_ms}\r\nAuthorization: Token {key}\r\n"
    );
    if !prompt.is_empty() {
        let parts = prompt.split(',').filter_map(|part| part.rsplit_once(':'));
        let tokens: u64 = parts.filter_map(|(_, tokens)| tokens.parse::<u64>().ok()).sum();
        text.push_str(&format!(
            "Fulmargate-Model-Name: m\r\nFulmargate-Token-Usage: {tokens},20\r\n\
             Fulmargate-Prompt-Prefix: {prompt}\r\n"
        ));
    }
    if method == "POST" {
        text.push_str("Content-Length: 2\r\n\r\nhi");
    } else {
        text.push_str("\r\n");
    }
    text.into_bytes()
}
