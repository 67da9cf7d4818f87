//! Starts entry daemons with the command of the deploy file, and ends them.

use std::fs;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::call;

/// A daemon; killed on drop.
pub struct Daemon {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// A port that is free now.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Daemon {
    /// Starts a daemon with the settings that the deploy file's template makes of the sheet of a small deployment.
    pub fn start(
        name: &str,
        zone: &str,
        store: SocketAddr,
        folder: &Path,
    ) -> io::Result<Daemon> {
        // All are held until the last one is found, so that they differ.
        let listeners: Vec<TcpListener> =
            (0..4).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
        let addresses: Vec<SocketAddr> =
            listeners.iter().map(TcpListener::local_addr).collect::<io::Result<_>>()?;
        drop(listeners);
        let [callers, readiness, metrics, peers] = addresses[..] else {
            return Err(io::Error::other("four addresses are needed"));
        };
        let json = format!(
            "{{\"host\":\"{name}\",\"zone\":\"{zone}\",\"callers\":\"{callers}\",\"readiness\":\"{readiness}\",\
             \"metrics\":\"{metrics}\",\"peers\":\"{peers}\",\"store\":\"{store}\",\"link_mbps\":1000.0,\
             \"max_fds\":4100,\"memory_mb\":110,\"bounds\":{{\"key_revoke_ms\":5000,\"config_apply_ms\":2000,\
             \"stop_grace_s\":8,\"lease_ms\":3000,\"weights_ms\":6000,\"heartbeat_ms\":1200,\"repeat_ratio\":0.2,\
             \"repeat_slack\":52,\"repeat_window_s\":10,\"quota_window_s\":8,\"quota_overage\":0,\"quota_slack\":0}}}}"
        );
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, json)?;
        let log = folder.join(format!("{name}.log"));
        let mut daemon =
            Daemon { name: name.to_owned(), callers, readiness, settings, log, child: None };
        daemon.launch()?;
        Ok(daemon)
    }

    /// Starts the process, again with the same settings.
    pub fn launch(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/fulmargate-entry")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Whether the readiness check is answered with 200 within a second.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
        call(self.readiness, request, Duration::from_secs(1)).status == 200
    }

    pub fn wait_until_ready(&self, patience: Duration) -> bool {
        let deadline = Instant::now() + patience;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Whether the process runs.
    pub fn runs(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Resident memory in KB; 0 if it has ended.
    pub fn resident_kb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let text = line.and_then(|line| line.split_whitespace().nth(1));
        text.and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    /// Lines of the daemon's log with this text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // It may have ended by itself.
            let _killed = child.kill();
            let _ended = child.wait();
        }
    }
}
