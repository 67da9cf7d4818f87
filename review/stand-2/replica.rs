//! A replica in a process of its own.

use std::env;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use crate::daemon::send_signal;

/// Killed on drop.
pub struct Replica {
    pub name: String,
    child: Child,
}

/// What a replica answers.
#[derive(Clone, Copy)]
pub struct Answers {
    /// Name of its model; `-` for a plain service.
    pub model: &'static str,
    /// Pieces of an answer, and the pause after each.
    pub pieces: u32,
    pub pause: Duration,
    /// `unframed`: without length and chunks, ended by the connection.
    pub framing: &'static str,
}

impl Replica {
    pub fn start(name: &str, address: SocketAddr, answers: Answers, log: &Path) -> io::Result<Replica> {
        let child = Command::new(env::current_exe()?)
            .args(["server", name, &address.to_string(), answers.model])
            .args([&answers.pieces.to_string(), &answers.pause.as_millis().to_string()])
            .arg(answers.framing)
            .arg(log)
            .stdin(Stdio::null())
            .spawn()?;
        Ok(Replica { name: name.to_owned(), child })
    }

    pub fn signal(&self, signal: i32) {
        send_signal(&self.child, signal);
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) -> io::Result<String> {
        Ok(self.child.wait()?.to_string())
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _killed = self.child.kill();
        let _ended = self.child.wait();
    }
}
