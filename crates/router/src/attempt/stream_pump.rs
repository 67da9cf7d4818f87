//! Carries a stream from engines to its caller, over breaks.

use std::num::NonZeroUsize;
use std::time::Duration;

use bytes::BytesMut;
use fulmargate_names::ErrorKind;
use fulmargate_names::EventKind;
use fulmargate_names::WeightsVersion;
use fulmargate_relay::AttemptStream;
use fulmargate_relay::BreakCause;
use fulmargate_relay::BufferLimits;
use fulmargate_relay::BufferStep;
use fulmargate_relay::CallerBuffer;
use fulmargate_relay::ChunkWriter;
use fulmargate_relay::DeliveredPart;
use fulmargate_relay::ResumeStep;
use fulmargate_relay::ResumeToken;
use fulmargate_relay::SameServer;
use fulmargate_relay::StreamBreak;
use fulmargate_relay::StreamFault;
use fulmargate_relay::StreamPlace;
use fulmargate_relay::StreamState;
use fulmargate_relay::TokenMinter;
use fulmargate_relay::UsageChunk;
use fulmargate_relay::error_event;
use fulmargate_relay::error_event_saying;
use fulmargate_relay::plan_resume;
use futures_util::StreamExt;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::attempt::EngineRunner;
use crate::attempt::OpenAttempt;
use crate::attempt::engine_runner::MAX_ATTEMPTS;
use crate::attempt::stream_body::StreamBody;
use crate::attempt::stream_body::StreamSink;
use crate::attempt::stream_body::stream_body;
use crate::state::OpenGuard;

const MAX_EVENT_BYTES: NonZeroUsize = NonZeroUsize::new(256 * 1024).unwrap();
/// An engine that sends nothing for so long is taken for frozen.
const SERVER_STALL: Duration = Duration::from_secs(2);
/// Said to a caller that reads too slowly.
const SLOW_READER: &str =
    "The stream was read too slowly; resume it with the id of its last event.";
/// How long a stream may stand still over a break, attempts included.
const STANDSTILL: Duration = Duration::from_secs(10);
const LIMITS: BufferLimits = BufferLimits {
    max_bytes: 256 * 1024,
    max_held_ms: 5_000,
    forgiven_percent: 20,
    drain_ms: 20_000,
};

/// Begins to carry a stream; the pump runs until the stream has ended or the caller is gone.
pub(crate) fn start_stream(
    runner: EngineRunner,
    open: OpenAttempt,
    place: StreamPlace,
    guard: OpenGuard,
) -> StreamBody {
    let (sink, body) = stream_body();
    let pump = StreamPump {
        weights: open.weights,
        stream: attempt_stream(&runner, &open, place, runner.call.usage),
        buffer: CallerBuffer::new(LIMITS, runner.state.now_ms()),
        idle_attempts: 1,
        last_place: place,
        runner,
        open,
        sink,
    };
    actix_rt::spawn(async move {
        pump.run().await;
        drop(guard);
    });
    body
}

struct StreamPump {
    runner: EngineRunner,
    open: OpenAttempt,
    weights: WeightsVersion,
    stream: AttemptStream,
    buffer: CallerBuffer,
    sink: StreamSink,
    /// Attempts at this server since the stream last moved on.
    idle_attempts: u32,
    last_place: StreamPlace,
}

/// Why the pump stopped reading an attempt.
enum PumpStop {
    Done,
    CallerGone,
    CallerSlow,
    Broken(BreakCause),
}

/// What came of an attempt to go on after a break.
enum Resumed {
    GoesOn,
    Finished,
}

impl StreamPump {
    async fn run(mut self) {
        loop {
            match self.carry().await {
                PumpStop::Done => return,
                PumpStop::CallerGone => {
                    return self.log(EventKind::CallerGone, "the caller hung up");
                }
                PumpStop::CallerSlow => return self.let_go().await,
                PumpStop::Broken(cause) => match self.resume(cause).await {
                    Ok(Resumed::GoesOn) => {}
                    Ok(Resumed::Finished) => return,
                    Err(kind) => return self.end(kind).await,
                },
            }
        }
    }

    /// Carries one attempt until it ends or breaks.
    async fn carry(&mut self) -> PumpStop {
        let mut stall = Instant::now() + SERVER_STALL;
        loop {
            let now_ms = self.runner.state.now_ms();
            self.buffer.take(self.sink.take_count(), now_ms);
            if self.sink.is_gone() {
                return PumpStop::CallerGone;
            }
            let reads = match self.buffer.step(now_ms) {
                BufferStep::Read => true,
                BufferStep::Wait => false,
                BufferStep::LetGo | BufferStep::Drain | BufferStep::CutOff => {
                    return PumpStop::CallerSlow;
                }
            };
            let wake = self.wake_at(stall, reads, now_ms);
            tokio::select! {
                chunk = self.open.body.next(), if reads => {
                    stall = Instant::now() + SERVER_STALL;
                    if let Some(stop) = self.take_chunk(chunk) {
                        return stop;
                    }
                }
                () = self.sink.changed() => {}
                () = sleep_until(wake) => {
                    if reads {
                        return PumpStop::Broken(BreakCause::Cut);
                    }
                }
            }
        }
    }

    fn wake_at(&self, stall: Instant, reads: bool, now_ms: u64) -> Instant {
        if reads {
            return stall;
        }
        let wake_ms = self.buffer.wake_at().unwrap_or(now_ms);
        Instant::now() + Duration::from_millis(wake_ms.saturating_sub(now_ms))
    }

    fn take_chunk(
        &mut self,
        chunk: Option<Result<bytes::Bytes, awc::error::PayloadError>>,
    ) -> Option<PumpStop> {
        let Some(Ok(chunk)) = chunk else {
            return Some(match self.stream.end_of_body() {
                Ok(()) => PumpStop::Done,
                Err(fault) => PumpStop::Broken(fault.cause()),
            });
        };
        let mut out = BytesMut::new();
        let fed = self.stream.feed(chunk, &mut out);
        self.buffer.add(out.len(), self.runner.state.now_ms());
        self.sink.push(out.freeze());
        match fed {
            Ok(StreamState::Open) => None,
            Ok(StreamState::Done) => {
                self.open.ended_well();
                Some(PumpStop::Done)
            }
            // What comes after the end belongs to nobody; the caller's stream is whole.
            Err(_) if self.stream.state() == StreamState::Done => {
                self.open.ended_well();
                Some(PumpStop::Done)
            }
            Err(fault) => {
                self.log_fault(&fault);
                Some(PumpStop::Broken(fault.cause()))
            }
        }
    }

    fn log_fault(&self, fault: &StreamFault) {
        let kind = match fault {
            StreamFault::Crossed { .. } => EventKind::CrossedAnswer,
            _ => EventKind::AttemptRetried,
        };
        let server = &self.open.server.name;
        tracing::warn!(event = kind.number(), name = kind.name(), %server, "{fault}");
    }

    /// Goes on with another attempt after a break, or says how the stream ends.
    async fn resume(&mut self, cause: BreakCause) -> Result<Resumed, ErrorKind> {
        let give_up = Instant::now() + STANDSTILL;
        self.open.broke();
        self.open.cancel();
        self.runner.state.tell_trouble(&self.open.server.name);
        self.count_idle();
        let mut cause = cause;
        loop {
            let server = self.open.server.name.clone();
            let placed = match plan_resume(&self.facts(cause, give_up)) {
                ResumeStep::Finish => {
                    self.sink.push(bytes::Bytes::from_static(b"data: [DONE]\n\n"));
                    return Ok(Resumed::Finished);
                }
                ResumeStep::End(reason) => return Err(reason.error_kind()),
                ResumeStep::ResumeSame => self.runner.place_at(&server).await,
                ResumeStep::StartAgain | ResumeStep::ResumeElsewhere => {
                    self.runner.failed.push(server);
                    self.idle_attempts = 0;
                    self.runner.place().await
                }
            };
            self.idle_attempts += 1;
            let Ok(placed) = placed else {
                cause = BreakCause::Fault;
                self.runner.attempts_left = self.runner.attempts_left.saturating_sub(1);
                continue;
            };
            let place = self.stream.place();
            match self.runner.open_rest(placed, self.weights, place).await {
                Ok(open) => {
                    self.stream = attempt_stream(&self.runner, &open, place, self.stream.usage());
                    self.open = open;
                    self.log(EventKind::StreamResumed, "the stream goes on");
                    return Ok(Resumed::GoesOn);
                }
                Err(_) => cause = BreakCause::Fault,
            }
        }
    }

    fn count_idle(&mut self) {
        let place = self.stream.place();
        if place != self.last_place {
            self.idle_attempts = 1;
            self.last_place = place;
            self.runner.attempts_left = MAX_ATTEMPTS;
            self.runner.failed.clear();
        }
        // The deadline of the first token is met; from here the standstill is what is bounded.
        self.runner.call.class.deadline = Instant::now() + STANDSTILL;
    }

    fn facts(&self, cause: BreakCause, give_up: Instant) -> StreamBreak {
        let now_ms = self.runner.state.now_ms();
        let left = give_up.saturating_duration_since(Instant::now()).as_millis() as u64;
        let server = &self.open.server;
        let is_same = server.incarnation() == self.open.incarnation
            && !server.is_leaving()
            && self.runner.may_have_weights(&server.name, self.weights);
        let equal = self.runner.equal_servers(&server.name, self.weights);
        StreamBreak {
            delivered: DeliveredPart::Some,
            rest: self.stream.rest(),
            cause,
            same: if is_same { SameServer::Alive } else { SameServer::Unusable },
            idle_attempts: self.idle_attempts,
            equal,
            attempts_left: self.runner.attempts_left,
            now_ms,
            give_up_ms: now_ms + left,
        }
    }

    /// Handles a caller that reads too slowly: cancels the server's run at once, and writes out the
    /// buffered events as long as the caller takes them. It may resume with the id of its last event.
    async fn let_go(&mut self) {
        self.open.cancel();
        self.buffer.close_server(self.runner.state.now_ms());
        self.sink.push(error_event_saying(ErrorKind::SlowCaller, SLOW_READER));
        self.log(EventKind::RequestFailed, SLOW_READER);
        loop {
            let now_ms = self.runner.state.now_ms();
            self.buffer.take(self.sink.take_count(), now_ms);
            if self.sink.is_gone() || self.sink.is_empty() {
                return;
            }
            if self.buffer.step(now_ms) == BufferStep::CutOff {
                return self.sink.cut_off();
            }
            let wake = self.wake_at(Instant::now(), false, now_ms);
            tokio::select! {
                () = self.sink.changed() => {}
                () = sleep_until(wake) => {}
            }
        }
    }

    /// Tells the caller that the stream ends here: an end without `[DONE]` is never silent.
    async fn end(&mut self, kind: ErrorKind) {
        self.sink.push(error_event(kind));
        self.log(EventKind::RequestFailed, kind.row().code);
    }

    fn log(&self, kind: EventKind, message: &str) {
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            request = %self.runner.call.request_id,
            server = %self.open.server.name,
            "{message}"
        );
    }
}

fn attempt_stream(
    runner: &EngineRunner,
    open: &OpenAttempt,
    place: StreamPlace,
    usage: UsageChunk,
) -> AttemptStream {
    let call = &runner.call;
    let token = ResumeToken {
        server: open.server.name.clone(),
        incarnation: open.incarnation,
        weights: open.weights,
        request_id: call.request_id.clone(),
        place,
    };
    let minter = TokenMinter::new(&runner.state.secrets, &call.binding, &token);
    let writer = ChunkWriter::new(&call.request_id, minter);
    AttemptStream::new(MAX_EVENT_BYTES, &open.attempt_id, place, usage, writer)
}
