//! Processor time of a process or of some threads of this one.

use std::fs;
use std::io;

use crate::load_error::LoadError;

/// Ticks a second in `/proc`, on all platforms that the C library supports today.
const TICKS_PER_S: f64 = 100.0;
const OWN_THREADS: &str = "/proc/self/task";

/// Reads the processor time spent so far from files of the form of `/proc/PID/stat`.
#[derive(Clone, Debug, Default)]
pub struct ProcessorClock {
    files: Vec<String>,
}

impl ProcessorClock {
    /// Of another process.
    pub fn of_process(pid: u32) -> ProcessorClock {
        ProcessorClock { files: vec![format!("/proc/{pid}/stat")] }
    }

    /// Of the threads of this process that are not among `others`.
    pub fn of_new_threads(others: &[String]) -> Result<ProcessorClock, LoadError> {
        let threads = ProcessorClock::threads_of_process()?;
        let new = threads.into_iter().filter(|thread| !others.contains(thread));
        Ok(ProcessorClock {
            files: new.map(|thread| format!("{OWN_THREADS}/{thread}/stat")).collect(),
        })
    }

    /// Ids of all threads of this process.
    pub fn threads_of_process() -> Result<Vec<String>, LoadError> {
        let entries = fs::read_dir(OWN_THREADS).map_err(|error| failed(&error))?;
        let name = |entry: io::Result<fs::DirEntry>| {
            Ok(entry.map_err(|error| failed(&error))?.file_name().to_string_lossy().into_owned())
        };
        entries.map(name).collect()
    }

    /// Seconds of processor time so far; threads that have ended count no longer.
    pub fn seconds(&self) -> f64 {
        let ticks = |file: &String| processor_ticks(&fs::read_to_string(file).ok()?);
        let ticks: u64 = self.files.iter().filter_map(ticks).sum();
        ticks as f64 / TICKS_PER_S
    }
}

/// User and system time in a line of `/proc/PID/stat`.
pub fn processor_ticks(stat: &str) -> Option<u64> {
    // The name of the program may hold blanks and brackets, so fields count from its end.
    let (_, rest) = stat.rsplit_once(')')?;
    let mut fields = rest.split_whitespace().skip(11);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

fn failed(error: &io::Error) -> LoadError {
    LoadError::Failed { what: "processor time", reason: error.to_string() }
}
