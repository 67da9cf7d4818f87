//! The router's settings.

use std::net::SocketAddr;
use std::path::Path;

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::SettingsError;
use crate::load;
use crate::parse;

const SHA256_HEX_DIGITS: usize = 64;
const SECRET_MIN_BYTES: usize = 16;
const MAX_WORKERS: usize = 64;
const MAX_CLAIM_SHARDS: u32 = 256;

/// Everything one router process is told at its start.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouterSettings {
    /// Name of the entry host, distinct among all.
    pub host: HostName,
    /// Availability zone of the entry host.
    pub zone: ZoneName,
    /// Listener for callers.
    pub callers: CallerSettings,
    /// Listener for operators.
    pub operators: OperatorSettings,
    /// Listener for other routers.
    pub peers: PeerSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// Secrets that authenticate stream event ids, the one in use first; the same on all entry hosts.
    pub stream_secrets: Vec<String>,
    /// Form of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
    /// How long a planned stop goes on serving after it has said that it is not ready, in milliseconds.
    #[serde(default = "default_stop_lead_ms")]
    pub stop_lead_ms: u64,
    /// How long a planned stop then waits for open requests, in milliseconds.
    #[serde(default = "default_stop_grace_ms")]
    pub stop_grace_ms: u64,
}

/// Listener for callers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Address; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Traffic threads.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Largest body in bytes.
    #[serde(default = "default_body_limit_bytes")]
    pub body_limit_bytes: usize,
    /// Bytes of the bodies of all requests together, beyond the first 64 KiB of each.
    #[serde(default = "default_body_memory_bytes")]
    pub body_memory_bytes: usize,
    /// How long a caller may take to send a request, in milliseconds.
    #[serde(default = "default_request_timeout_ms")]
    pub request_timeout_ms: u64,
}

/// Listener for operators.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Address; port 0 takes a free one.
    pub listen: SocketAddr,
    /// SHA-256 of the operators' key, 64 hex digits.
    pub key_sha256: String,
}

/// Listener for other routers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Addresses of some other routers, tried at the start.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The platform's services.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The log service.
    pub log: SocketAddr,
    /// The list of hosts.
    #[serde(default)]
    pub hosts: Option<SocketAddr>,
    /// Number of claim streams; the same on all entry hosts, and never changed while claims live.
    #[serde(default = "default_claim_shards")]
    pub claim_shards: u32,
    /// How long the log keeps records, in seconds.
    #[serde(default = "default_log_retention_s")]
    pub log_retention_s: u64,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

fn default_stop_lead_ms() -> u64 {
    3_000
}

fn default_stop_grace_ms() -> u64 {
    30_000
}

fn default_workers() -> usize {
    2
}

fn default_body_limit_bytes() -> usize {
    4 * 1024 * 1024
}

fn default_body_memory_bytes() -> usize {
    256 * 1024 * 1024
}

fn default_request_timeout_ms() -> u64 {
    10_000
}

fn default_claim_shards() -> u32 {
    1
}

fn default_log_retention_s() -> u64 {
    3_600
}

impl RouterSettings {
    /// Reads and checks the file.
    pub fn load(path: &Path) -> Result<RouterSettings, SettingsError> {
        let settings: RouterSettings = load(path)?;
        settings.check(&path.display().to_string())?;
        Ok(settings)
    }

    /// Reads and checks a text; `file` is for messages only.
    pub fn parse(file: &str, text: &str) -> Result<RouterSettings, SettingsError> {
        let settings: RouterSettings = parse(file, text)?;
        settings.check(file)?;
        Ok(settings)
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        check_name(file, "host", self.host.as_str())?;
        check_name(file, "zone", self.zone.as_str())?;
        check_range(file, "callers.workers", self.callers.workers as u64, 1, MAX_WORKERS as u64)?;
        check_range(
            file,
            "callers.body_limit_bytes",
            self.callers.body_limit_bytes as u64,
            1024,
            1 << 30,
        )?;
        check_range(
            file,
            "callers.body_memory_bytes",
            self.callers.body_memory_bytes as u64,
            self.callers.body_limit_bytes as u64,
            1 << 40,
        )?;
        check_range(
            file,
            "callers.request_timeout_ms",
            self.callers.request_timeout_ms,
            100,
            600_000,
        )?;
        check_range(file, "stop_lead_ms", self.stop_lead_ms, 0, 600_000)?;
        check_range(file, "stop_grace_ms", self.stop_grace_ms, 0, 3_600_000)?;
        check_range(
            file,
            "platform.claim_shards",
            u64::from(self.platform.claim_shards),
            1,
            u64::from(MAX_CLAIM_SHARDS),
        )?;
        check_range(
            file,
            "platform.log_retention_s",
            self.platform.log_retention_s,
            1,
            31_536_000,
        )?;
        check_digest(file, "operators.key_sha256", &self.operators.key_sha256)?;
        self.check_secrets(file)
    }

    fn check_secrets(&self, file: &str) -> Result<(), SettingsError> {
        if self.stream_secrets.is_empty() {
            let reason = "is empty; at least one secret is needed".to_owned();
            return Err(SettingsError::key(file, "stream_secrets", reason));
        }
        for (index, secret) in self.stream_secrets.iter().enumerate() {
            if secret.len() < SECRET_MIN_BYTES {
                let reason =
                    format!("has {} bytes; at least {SECRET_MIN_BYTES} are needed", secret.len());
                return Err(SettingsError::key(file, &format!("stream_secrets[{index}]"), reason));
            }
        }
        Ok(())
    }
}

fn check_name(file: &str, key: &str, text: &str) -> Result<(), SettingsError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if !text.is_empty() && text.len() <= 64 && text.chars().all(allowed) {
        return Ok(());
    }
    let reason = format!("`{text}`; allowed are 1 to 64 letters, digits, `-`, `_`, `.`");
    Err(SettingsError::key(file, key, reason))
}

fn check_range(
    file: &str,
    key: &str,
    value: u64,
    low: u64,
    high: u64,
) -> Result<(), SettingsError> {
    if low <= value && value <= high {
        return Ok(());
    }
    Err(SettingsError::key(file, key, format!("`{value}`; allowed are {low} to {high}")))
}

fn check_digest(file: &str, key: &str, text: &str) -> Result<(), SettingsError> {
    if text.len() == SHA256_HEX_DIGITS && text.chars().all(|c| c.is_ascii_hexdigit()) {
        return Ok(());
    }
    let reason = format!("`{text}`; allowed are {SHA256_HEX_DIGITS} hex digits");
    Err(SettingsError::key(file, key, reason))
}
