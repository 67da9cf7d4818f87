//! Completions: one request from its body to the end of its stream.

use std::io;
use std::sync::Arc;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::HttpResponseBuilder;
use actix_web::http::StatusCode;
use actix_web::web::Data;
use bytes::Bytes;
use fulmargate_names as names;
use futures_util::stream;
use tokio::sync::mpsc;
use uuid::Uuid;

use super::answer_writer::AnswerUsage;
use super::answer_writer::AnswerWriter;
use super::engine_desk::EngineDesk;
use super::engine_job::EngineJob;
use super::engine_job::JobNews;
use super::engine_job::JobRefusal;
use super::engine_job::JobStart;
use super::kv_import;
use crate::CompletionBody;
use crate::clock;
use crate::server_answer::error_body;
use crate::server_answer::header_text;
use crate::server_answer::lost_answer;
use crate::server_answer::not_run;
use crate::token;

/// Longest answer.
const MAX_ANSWER_TOKENS: usize = 65_536;
/// What a crossed answer differs in.
const CROSSED_PROMPT: u64 = 0x5bd1_e995;

/// The engine's line to one caller. When the caller hangs up the line is dropped, and the engine
/// computes no longer for nobody.
struct CallerLine {
    news: mpsc::UnboundedReceiver<JobNews>,
    desk: Data<EngineDesk>,
}

impl Drop for CallerLine {
    fn drop(&mut self) {
        self.news.close();
        self.desk.wake();
    }
}

/// The rest of an answer after its first token.
struct AnswerStream {
    line: CallerLine,
    writer: AnswerWriter,
    usage: AnswerUsage,
    include_usage: bool,
    truncate_after: Option<usize>,
    is_over: bool,
    is_whole: bool,
}

/// `POST /v1/completions` and `/v1/chat/completions`.
pub(super) async fn complete(
    desk: Data<EngineDesk>,
    request: HttpRequest,
    bytes: Bytes,
) -> HttpResponse {
    let body = match read_body(&bytes) {
        Ok(body) => body,
        Err(reason) => return bad_request(&reason),
    };
    if let Some(refusal) = refusal_at_the_door(&desk) {
        return refused(refusal);
    }
    let (sender, news) = mpsc::unbounded_channel();
    let job = new_job(&request, &body, sender);
    if let Some(source) = header_text(&request, names::KV_SOURCE) {
        kv_import::import_blocks(&desk, &job, source).await;
    }
    let mut line = CallerLine { news, desk: desk.clone() };
    let prompt = Arc::clone(&job.prompt);
    let resume_from = job.resume_from;
    desk.core.borrow_mut().submit(desk.now_ms(), job);
    desk.wake();
    let start = match line.news.recv().await {
        Some(JobNews::Started(start)) => start,
        Some(JobNews::Refused(refusal)) => return refused(refusal),
        _ => return lost_answer(),
    };
    if desk.faults.loses_answer() {
        return lost_answer();
    }
    let answer = AnswerStream {
        line,
        writer: new_writer(&desk, &request, &body, &prompt, start.weights),
        usage: AnswerUsage {
            prompt: token::prompt_tokens(&prompt),
            cached: start.cached_tokens,
            completion: body.answer_tokens(),
        },
        include_usage: body.include_usage(),
        truncate_after: desk.faults.truncates_stream(),
        is_over: false,
        is_whole: false,
    };
    let head = answer_head(&answer, start);
    if body.stream {
        stream_answer(head, answer)
    } else {
        whole_answer(head, answer, resume_from).await
    }
}

fn read_body(bytes: &[u8]) -> Result<CompletionBody, String> {
    let body = CompletionBody::parse(bytes)?;
    if MAX_ANSWER_TOKENS < body.answer_tokens() {
        return Err(format!("`max_tokens`: at most {MAX_ANSWER_TOKENS} are allowed"));
    }
    Ok(body)
}

fn refusal_at_the_door(desk: &EngineDesk) -> Option<JobRefusal> {
    if desk.faults.state().refuse {
        return Some(JobRefusal::Overloaded);
    }
    (!desk.faults.admits_work()).then_some(JobRefusal::Leaving)
}

fn new_job(
    request: &HttpRequest,
    body: &CompletionBody,
    news: mpsc::UnboundedSender<JobNews>,
) -> EngineJob {
    let number = |name| header_text(request, name).and_then(|text| text.parse::<u64>().ok());
    EngineJob {
        model: Arc::from(&*body.model),
        scope: header_text(request, names::CACHE_SCOPE).map(Arc::from),
        prompt: Arc::from(body.prompt_text()),
        wanted_weights: number(names::WEIGHTS_VERSION),
        priority: number(names::PRIORITY).map_or(0, |priority| priority.min(255) as u8),
        resume_from: number(names::RESUME_FROM).unwrap_or(0) as usize,
        answer_tokens: body.answer_tokens(),
        news,
    }
}

/// A crossed answer is the whole answer to another request, under that request's id.
fn new_writer(
    desk: &EngineDesk,
    request: &HttpRequest,
    body: &CompletionBody,
    prompt: &str,
    weights: u64,
) -> AnswerWriter {
    let id = match header_text(request, names::REQUEST_ID) {
        Some(id) => id.to_owned(),
        None => Uuid::new_v4().to_string(),
    };
    let prompt_hash = token::prompt_hash(&body.model, prompt);
    let is_crossed = desk.faults.crosses_answer();
    AnswerWriter {
        id: if is_crossed { Arc::from(format!("crossed-{id}")) } else { Arc::from(id) },
        model: Arc::from(&*body.model),
        created: clock::unix_ms() / 1_000,
        is_chat: body.is_chat(),
        weights,
        prompt_hash: if is_crossed { prompt_hash ^ CROSSED_PROMPT } else { prompt_hash },
    }
}

fn answer_head(answer: &AnswerStream, start: JobStart) -> HttpResponseBuilder {
    let desk = &answer.line.desk;
    let mut head = HttpResponse::Ok();
    head.insert_header((names::REQUEST_ID, &*answer.writer.id))
        .insert_header((names::SERVER, desk.settings.name.as_str()))
        .insert_header((names::INCARNATION, desk.incarnation))
        .insert_header((names::WEIGHTS_VERSION, start.weights))
        .insert_header((names::PROMPT_TOKENS, answer.usage.prompt))
        .insert_header((names::CACHED_TOKENS, start.cached_tokens))
        .insert_header((names::QUEUE_TOKENS, start.queue_tokens))
        .insert_header((names::RUNNING, start.running));
    if desk.faults.state().leaving {
        head.insert_header((names::LEAVING, "true"));
    }
    head
}

fn stream_answer(mut head: HttpResponseBuilder, answer: AnswerStream) -> HttpResponse {
    let chunks = stream::unfold(answer, |mut answer| async {
        let chunk = answer.next_chunk().await?;
        Some((chunk.map(Bytes::from), answer))
    });
    head.content_type("text/event-stream").streaming(chunks)
}

async fn whole_answer(
    mut head: HttpResponseBuilder,
    mut answer: AnswerStream,
    resume_from: usize,
) -> HttpResponse {
    while let Some(Ok(_)) = answer.next_chunk().await {}
    if !answer.is_whole {
        return lost_answer();
    }
    head.json(answer.writer.body(resume_from, answer.usage.completion, answer.usage))
}

impl AnswerStream {
    /// Everything that is ready, as one chunk; `None` at the end. An engine that is gone cuts the
    /// stream with an error.
    async fn next_chunk(&mut self) -> Option<io::Result<String>> {
        if self.is_over {
            return None;
        }
        let Some(news) = self.line.news.recv().await else {
            return Some(Err(io::Error::from(io::ErrorKind::ConnectionReset)));
        };
        let mut chunk = self.event(news);
        while !self.is_over
            && let Ok(news) = self.line.news.try_recv()
        {
            chunk.push_str(&self.event(news));
        }
        // An empty chunk would end the body.
        (!chunk.is_empty()).then_some(Ok(chunk))
    }

    /// The text of one piece of news.
    fn event(&mut self, news: JobNews) -> String {
        match news {
            JobNews::Token(index) if self.truncate_after.is_some_and(|limit| limit <= index) => {
                self.is_over = true;
                String::new()
            }
            JobNews::Token(index) => self.writer.token_event(index),
            JobNews::Done => {
                self.is_over = true;
                self.is_whole = true;
                self.closing_events()
            }
            JobNews::Started(_) | JobNews::Refused(_) => String::new(),
        }
    }

    fn closing_events(&self) -> String {
        let mut events = self.writer.finish_event();
        if self.include_usage {
            events.push_str(&self.writer.usage_event(self.usage));
        }
        events.push_str(AnswerWriter::done_event());
        events
    }
}

fn bad_request(reason: &str) -> HttpResponse {
    HttpResponse::BadRequest().json(error_body("bad_request", reason))
}

fn refused(refusal: JobRefusal) -> HttpResponse {
    match refusal {
        JobRefusal::Overloaded => not_run(StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
        JobRefusal::Loading => not_run(StatusCode::SERVICE_UNAVAILABLE, "loading"),
        JobRefusal::WeightsMismatch => not_run(StatusCode::CONFLICT, "weights_mismatch"),
        JobRefusal::Leaving => not_run(StatusCode::CONFLICT, "leaving"),
        JobRefusal::UnknownModel => not_run(StatusCode::NOT_FOUND, "unknown_model"),
    }
}
