//! Settings of the daemon on an entry host of the platform.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::SettingsError;
use crate::load;
use crate::parse;

/// Everything one entry daemon is told at its start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the entry host, distinct among all.
    pub host: HostName,
    /// Availability zone of the entry host.
    pub zone: ZoneName,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the balancer's question whether the daemon is ready.
    pub readiness: SocketAddr,
    /// Listener for metrics.
    pub metrics: SocketAddr,
    /// Listener for other entry daemons.
    pub peers: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// With more hosts than this in its zone, a host has two of them read the store for all.
    #[serde(default = "default_few_hosts")]
    pub few_hosts: usize,
    /// With more hosts than this, those with the widest links of each zone pass on what routers tell each
    /// other; up to it each tells all others itself.
    #[serde(default = "default_direct_hosts")]
    pub direct_hosts: usize,
    /// What the host's network link carries, in Mbit/s. What routers tell each other keeps to a share of
    /// it, so that callers' answers have the rest.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Memory that the daemon may use, in MB. Callers' connections and requests keep to a share of it.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Descriptors that the daemon may open; by the system's limit if there is none, or a lower one.
    #[serde(default)]
    pub max_fds: Option<usize>,
    /// Times and shares that the operators have agreed on with their users.
    pub bounds: EntryBounds,
}

/// Up to here reads cost less than the words between hosts that would save them.
fn default_few_hosts() -> usize {
    6
}

/// Up to here a word to each other host costs a host less than its callers' answers do.
fn default_direct_hosts() -> usize {
    32
}

/// The common link of a small host.
fn default_link_mbps() -> f64 {
    1_000.0
}

/// What control of a host may take, of the capacity page.
fn default_memory_mb() -> u64 {
    256
}

/// What operators have agreed on so far.
fn default_config_apply_ms() -> u64 {
    2_000
}

/// The heartbeat interval of the platform so far.
fn default_heartbeat_ms() -> u64 {
    1_200
}

/// Long enough that a saved-up burst and some seconds of the rate lie in one span.
fn default_quota_window_s() -> f64 {
    8.0
}

/// Times and shares that the operators have agreed on with their users.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryBounds {
    /// A key that was taken away works for so long at most, in milliseconds.
    pub key_revoke_ms: u64,
    /// A new configuration is in force after so long, in milliseconds.
    #[serde(default = "default_config_apply_ms")]
    pub config_apply_ms: u64,
    /// A planned stop is over after so long, in seconds.
    pub stop_grace_s: f64,
    /// The lease on orders to engines, in milliseconds.
    pub lease_ms: u64,
    /// No request begins on older weights after so long, in milliseconds.
    pub weights_ms: u64,
    /// Servers write to the server list about once in this time, in milliseconds.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// Repeated sends per first send, of all routers together.
    pub repeat_ratio: f64,
    /// Repeated sends in a window beside these.
    pub repeat_slack: f64,
    /// The window, in seconds.
    pub repeat_window_s: f64,
    /// The span over which the use of a team's quota is judged, in seconds.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// The share by which a team may exceed its quota within that span.
    #[serde(default)]
    pub quota_overage: f64,
    /// Tokens, or requests, by which a team may exceed its quota within that span, besides.
    #[serde(default)]
    pub quota_slack: f64,
}

impl EntrySettings {
    /// Loads and checks a settings file.
    pub fn load(path: &Path) -> Result<EntrySettings, SettingsError> {
        let settings: EntrySettings = load(path)?;
        settings.check(&path.display().to_string())?;
        Ok(settings)
    }

    /// Reads and checks settings from a text; `file` is for messages only.
    pub fn parse(file: &str, text: &str) -> Result<EntrySettings, SettingsError> {
        let settings: EntrySettings = parse(file, text)?;
        settings.check(file)?;
        Ok(settings)
    }

    /// Bytes a second that the host's link carries.
    pub fn link_bytes_per_s(&self) -> f64 {
        self.link_mbps * BYTES_PER_MBIT
    }

    /// What the host's link carries, in kbit/s, as other routers are told.
    pub fn link_kbps(&self) -> u32 {
        (self.link_mbps * KBIT_PER_MBIT).round() as u32
    }

    fn check(&self, file: &str) -> Result<(), SettingsError> {
        let refuse = |key: &str, reason: String| Err(SettingsError::key(file, key, reason));
        if self.host.as_str().is_empty() {
            return refuse("host", "is empty; give a name that no other entry host has".to_owned());
        }
        if !self.link_mbps.is_finite() || self.link_mbps <= 0.0 {
            return refuse("link_mbps", format!("{} is not allowed; above 0", self.link_mbps));
        }
        if self.max_fds.is_some_and(|max_fds| max_fds < LEAST_FDS) {
            return refuse("max_fds", format!("is too low; {LEAST_FDS} or more"));
        }
        let bounds = &self.bounds;
        let times = [
            ("bounds.key_revoke_ms", bounds.key_revoke_ms, LEAST_BOUND_MS),
            ("bounds.config_apply_ms", bounds.config_apply_ms, LEAST_BOUND_MS),
            ("bounds.lease_ms", bounds.lease_ms, LEAST_BOUND_MS),
            ("bounds.weights_ms", bounds.weights_ms, LEAST_BOUND_MS),
            ("bounds.heartbeat_ms", bounds.heartbeat_ms, LEAST_HEARTBEAT_MS),
        ];
        for (key, value, least) in times {
            if value < least {
                return refuse(key, format!("{value} is too short; {least} or more"));
            }
        }
        let shares = [
            ("bounds.repeat_ratio", bounds.repeat_ratio),
            ("bounds.repeat_slack", bounds.repeat_slack),
            ("bounds.quota_overage", bounds.quota_overage),
            ("bounds.quota_slack", bounds.quota_slack),
        ];
        for (key, value) in shares {
            if !value.is_finite() || value < 0.0 {
                return refuse(key, format!("{value} is not allowed; 0 or more"));
            }
        }
        let spans = [
            ("bounds.stop_grace_s", bounds.stop_grace_s),
            ("bounds.repeat_window_s", bounds.repeat_window_s),
            ("bounds.quota_window_s", bounds.quota_window_s),
        ];
        for (key, value) in spans {
            if !value.is_finite() || value < LEAST_SPAN_S {
                return refuse(key, format!("{value} is too short; {LEAST_SPAN_S} or more"));
            }
        }
        Ok(())
    }
}

/// Fewer descriptors than this leave no room for callers beside servers, the store and other routers.
const LEAST_FDS: usize = 128;
/// A million bits.
const BYTES_PER_MBIT: f64 = 125_000.0;
/// A million bits in thousands.
const KBIT_PER_MBIT: f64 = 1_000.0;
/// Shorter bounds than this could not be kept: a read of the store is repeated about once a second.
const LEAST_BOUND_MS: u64 = 1_500;
/// A much shorter interval than the servers' own would make old weights seem young.
const LEAST_HEARTBEAT_MS: u64 = 100;
/// The balancer needs two questions, a second apart, to see that a daemon is not ready.
const LEAST_SPAN_S: f64 = 3.0;

impl EntryBounds {
    /// See the field.
    pub fn key_revoke(&self) -> Duration {
        Duration::from_millis(self.key_revoke_ms)
    }

    /// See the field.
    pub fn config_apply(&self) -> Duration {
        Duration::from_millis(self.config_apply_ms)
    }

    /// See the field.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_secs_f64(self.stop_grace_s)
    }

    /// See the field.
    pub fn lease(&self) -> Duration {
        Duration::from_millis(self.lease_ms)
    }

    /// See the field.
    pub fn weights(&self) -> Duration {
        Duration::from_millis(self.weights_ms)
    }

    /// See the field.
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// See the field.
    pub fn repeat_window(&self) -> Duration {
        Duration::from_secs_f64(self.repeat_window_s)
    }

    /// See the field.
    pub fn quota_window(&self) -> Duration {
        Duration::from_secs_f64(self.quota_window_s)
    }
}
