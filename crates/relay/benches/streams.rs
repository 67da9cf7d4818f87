//! Cost per token of each step from a server's stream to the caller's, and of resume tokens.

use std::hint::black_box;
use std::num::NonZeroUsize;

use bytes::Bytes;
use bytes::BytesMut;
use criterion::BenchmarkGroup;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;
use criterion::measurement::WallTime;
use fulmargate_names::Incarnation;
use fulmargate_names::RequestId;
use fulmargate_names::TeamName;
use fulmargate_names::WeightsVersion;
use fulmargate_relay::AttemptStream;
use fulmargate_relay::ChunkWriter;
use fulmargate_relay::EventReader;
use fulmargate_relay::PassedEvent;
use fulmargate_relay::ResumeToken;
use fulmargate_relay::StreamGuard;
use fulmargate_relay::StreamPlace;
use fulmargate_relay::TokenBinding;
use fulmargate_relay::TokenMinter;
use fulmargate_relay::TokenSecrets;
use fulmargate_relay::UsageChunk;

const REQUEST: &str = "01997c3e-9f4e-7bb2-a7ad-5a4ce2f7d1a0";
const ATTEMPT: &str = "01997c3e-9f4e-7bb2-a7ad-5a4ce2f7d1a0.1";
const TOKENS: u32 = 1000;
const LIMIT: NonZeroUsize = NonZeroUsize::new(1 << 16).expect("not zero");

fn token_event(index: u32) -> Bytes {
    let finish = if index + 1 == TOKENS { r#""stop""# } else { "null" };
    let data = format!(
        r#"{{"id":"{ATTEMPT}","object":"chat.completion.chunk","created":1760000000,"model":"museum-large","choices":[{{"index":0,"delta":{{"content":" {index:06x}"}},"finish_reason":{finish}}}]}}"#
    );
    Bytes::from(format!("id: {index}\ndata: {data}\n\n"))
}

fn secrets() -> TokenSecrets {
    TokenSecrets::new(&["a secret of the entry hosts".to_owned()]).expect("long enough")
}

fn binding(body: &[u8]) -> TokenBinding {
    TokenBinding::new(&TeamName::new("shop"), "/v1/chat/completions", body)
}

fn minter(binding: &TokenBinding) -> TokenMinter {
    let begun = ResumeToken {
        server: "milano-nord-7".into(),
        incarnation: Incarnation(1_760_000_000_123),
        weights: WeightsVersion(300),
        request_id: REQUEST.into(),
        place: StreamPlace::default(),
    };
    TokenMinter::new(&secrets(), binding, &begun)
}

/// Reads each chunk and hands each event to `each`.
fn read_all(chunks: &[Bytes], mut each: impl FnMut(&fulmargate_relay::StreamEvent)) {
    let mut reader = EventReader::new(LIMIT);
    for chunk in chunks {
        let mut chunk = chunk.clone();
        while let Some(event) = reader.next_event(&mut chunk).expect("in good form") {
            each(&event);
        }
    }
}

fn bench_relay(criterion: &mut Criterion) {
    let chunks: Vec<Bytes> = (0..TOKENS).map(token_event).collect();
    let mut group = criterion.benchmark_group("token");
    group.throughput(Throughput::Elements(u64::from(TOKENS)));
    bench_reading(&mut group, &chunks);
    bench_writing(&mut group, &chunks);
    group.finish();
}

fn guard() -> StreamGuard {
    StreamGuard::new(ATTEMPT, StreamPlace::default(), UsageChunk::NotAsked)
}

fn bench_reading(group: &mut BenchmarkGroup<'_, WallTime>, chunks: &[Bytes]) {
    group.bench_function("copy", |bencher| {
        bencher.iter(|| {
            let mut out = BytesMut::new();
            for chunk in chunks {
                out.clear();
                out.extend_from_slice(black_box(chunk));
            }
            out
        });
    });
    group.bench_function("read", |bencher| {
        bencher.iter(|| {
            read_all(chunks, |event| {
                black_box(event);
            });
        });
    });
    group.bench_function("read, parse whole", |bencher| {
        bencher.iter(|| {
            read_all(chunks, |event| {
                let value: serde_json::Value = serde_json::from_str(&event.data).expect("JSON");
                drop(black_box(value));
            });
        });
    });
    group.bench_function("read, guard", |bencher| {
        bencher.iter(|| {
            let mut guard = guard();
            read_all(chunks, |event| drop(black_box(guard.pass(event))));
        });
    });
}

fn bench_writing(group: &mut BenchmarkGroup<'_, WallTime>, chunks: &[Bytes]) {
    let binding = binding(b"{}");
    let writer = || ChunkWriter::new(&RequestId::new(REQUEST), minter(&binding));
    group.bench_function("read, guard, rewrite id", |bencher| {
        bencher.iter(|| {
            let (mut guard, writer, mut out) = (guard(), writer(), BytesMut::new());
            read_all(chunks, |event| {
                out.clear();
                if let Ok(PassedEvent::Token { id_span }) = guard.pass(event) {
                    writer.write_extra(&event.data, id_span, &mut out);
                }
            });
            out
        });
    });
    group.bench_function("read, guard, rewrite id, resume token", |bencher| {
        bencher.iter(|| {
            let start = StreamPlace::default();
            let mut stream =
                AttemptStream::new(LIMIT, ATTEMPT, start, UsageChunk::NotAsked, writer());
            let mut out = BytesMut::new();
            for chunk in chunks {
                out.clear();
                stream.feed(chunk.clone(), &mut out).expect("in order");
            }
            out
        });
    });
}

fn bench_tokens(criterion: &mut Criterion) {
    let binding = binding(b"{}");
    let made = minter(&binding);
    let place = StreamPlace::before(700).expect("within the bound");
    let text = made.mint(place);
    let secrets = secrets();
    let mut group = criterion.benchmark_group("resume token");
    group.bench_function(format!("mint, {} characters", text.len()), |bencher| {
        let mut out = BytesMut::new();
        bencher.iter(|| {
            out.clear();
            made.write(black_box(place), &mut out);
        });
    });
    group.bench_function("prepare an attempt", |bencher| bencher.iter(|| minter(&binding)));
    group.bench_function("verify", |bencher| {
        bencher.iter(|| ResumeToken::verify(&secrets, &binding, black_box(&text)));
    });
    group.finish();
}

fn bench_binding(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("bind a request");
    for kilobytes in [1, 16, 256] {
        let body = vec![b'x'; kilobytes << 10];
        group.throughput(Throughput::Bytes(body.len() as u64));
        group.bench_with_input(BenchmarkId::from_parameter(kilobytes), &body, |bencher, body| {
            bencher.iter(|| binding(black_box(body)));
        });
    }
    group.finish();
}

criterion_group!(benches, bench_relay, bench_tokens, bench_binding);
criterion_main!(benches);
