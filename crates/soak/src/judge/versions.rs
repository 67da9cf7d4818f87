//! Streams that callers take up beside several software versions.

use std::time::Duration;

use tokio::time::Instant;

use crate::Promise;
use crate::judge::SoakJudge;
use crate::request_record::RequestKind;
use crate::served_count::ServedCount;
use crate::version_caller::StreamRecord;
use crate::version_caller::StreamTry;

/// Streams taken up from which on their share is judged.
const MIN_TAKEN_UP: usize = 12;
/// Servers of a version that have to serve for it.
const MIN_SERVERS: usize = 2;
/// Time after which all routers know a server that is new in the list.
const LISTED_AFTER: Duration = Duration::from_secs(2);

impl SoakJudge<'_> {
    /// No stream has events of two versions, and of those that are taken up at calm routers half the share goes on that
    /// new ones have.
    pub(super) fn judge_versions(&mut self) {
        let (mut begun, mut taken_up) = (ServedCount::default(), ServedCount::default());
        for stream in &self.evidence.streams {
            let marks = stream.joined.marks();
            if 1 < marks.len() {
                let detail = format!("{} has events of {marks:?}: {stream:?}", stream.id);
                self.note(Promise::OneVersion, detail);
            }
            if !stream.joined.is_in_order() {
                let detail = format!("{}: {:?}", stream.id, stream.joined);
                self.note(Promise::OrderedStream, detail);
            }
            let first = stream.tries.iter().position(|attempt| attempt.has_events);
            for (number, attempt) in stream.tries.iter().enumerate() {
                let is_taken_up = first.is_some_and(|first| first < number);
                if is_taken_up && attempt.status.is_some_and(|status| status != 200) {
                    self.judged.refused_streams += 1;
                }
                if !self.is_calm(attempt.router, attempt.sent, attempt.ended) {
                    continue;
                }
                match is_taken_up {
                    false => begun.add(attempt.has_events),
                    true if self.has_servers(stream, attempt) => taken_up.add(attempt.has_events),
                    true => {}
                }
            }
        }
        self.judge_new_streams();
        (self.judged.taken_up, self.judged.went_on) = (taken_up.sent, taken_up.served);
        if MIN_TAKEN_UP <= taken_up.sent && taken_up.share() < begun.share() / 2.0 {
            let detail = format!("taken up {taken_up:?}, begun {begun:?}");
            self.note(Promise::TakenUpStreams, detail);
        }
    }

    /// New streams are all served again when the faults are over.
    fn judge_new_streams(&mut self) {
        let streams = &self.evidence.streams;
        let firsts = streams.iter().filter_map(|stream| Some((stream, stream.tries.first()?)));
        let late = firsts.filter(|(_, attempt)| self.evidence.recovered < attempt.sent);
        let unserved: Vec<String> = late
            .filter(|(_, attempt)| !attempt.has_events)
            .map(|(stream, attempt)| format!("{}: {attempt:?}", stream.id))
            .collect();
        for detail in unserved {
            self.note(Promise::Recovery, detail);
        }
    }

    /// The kinds of requests that are always there. Streams beside several versions have a judge of their own.
    pub(super) fn sent_kinds(&self) -> &'static [RequestKind] {
        match self.evidence.streams.is_empty() {
            true => &RequestKind::LASTING,
            false => &[RequestKind::Look, RequestKind::Charge],
        }
    }

    /// Whether two servers of the stream's version served during a try.
    fn has_servers(&self, stream: &StreamRecord, attempt: &StreamTry) -> bool {
        let serves = |from: Instant, left: Option<Instant>| {
            from + LISTED_AFTER <= attempt.sent && left.is_none_or(|left| attempt.ended <= left)
        };
        let Some((mark, _)) = stream.joined.events.first() else { return false };
        let servers = self.evidence.servers.iter().filter(|server| {
            server.service == "engines"
                && format!("v{}", server.version) == *mark
                && serves(server.listed, server.left)
        });
        MIN_SERVERS <= servers.count()
    }
}
