//! What operators see of suspects, and their word that one is sound.

use tokio::time::Instant;

use crate::SuspectKind;
use crate::SuspectStatus;
use crate::SuspectTable;

impl SuspectTable {
    /// Requests with confirmed crashes, and parts that have crashed servers one after the other.
    pub fn overview(&mut self, now: Instant) -> Vec<SuspectStatus> {
        let parts = self.suspected_parts(now);
        let mut suspects = Vec::new();
        for (part, crashes, age) in parts {
            suspects.push(SuspectStatus {
                key: format!("{part:032x}"),
                kind: "part".to_owned(),
                crashes,
                age_ms: age.as_millis() as u64,
                is_convicted: self.is_part_convicted(part),
            });
        }
        for (fingerprint, record) in &self.records {
            let crashes = self.crash_count(*fingerprint, now);
            if record.kind == SuspectKind::Request && 0 < crashes {
                suspects.push(SuspectStatus {
                    key: format!("{fingerprint:032x}"),
                    kind: "request".to_owned(),
                    crashes,
                    age_ms: record.age(now).as_millis() as u64,
                    is_convicted: self.conf.max_crashes <= crashes,
                });
            }
        }
        suspects
    }

    /// Clears a request or a part of all crashes known here, by an operator's word. Hosts and the store learn of it as
    /// of any clearance. Returns the number of crashes; `None` if nothing is known of it.
    pub fn lift(&mut self, key: u128, now: Instant) -> Option<usize> {
        let record = self.records.get_mut(&key)?;
        let servers = record.servers();
        for server in &servers {
            record.clear(*server);
        }
        record.mark_changed(now);
        record.write_at = Some(now);
        self.verdicts = None;
        Some(servers.len())
    }
}
