//! The engine over its sockets: streams, cache, refusals, orders, imports and faults.

use std::net::SocketAddr;
use std::time::Duration;

use crate::common::EngineCall;
use crate::common::SCOPE;
use crate::common::StandRun;
use crate::common::engine_settings;
use crate::common::events;
use crate::common::header;
use crate::common::start_engine;
use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::web;
use fulmargate_stand::FaultOrder;
use fulmargate_stand::engine_server;
use fulmargate_stand::token;
use futures_util::StreamExt;
use serde_json::Value;
use serde_json::json;
use tokio::time::timeout;

const LONG: &str = "A prompt of more than four blocks. A prompt of more than four blocks. \
    A prompt of more than four blocks. A prompt of more than four blocks. \
    A prompt of more than four blocks. A prompt of more than four blocks. \
    A prompt of more than four blocks. A prompt of more than four blocks.";

const OTHER: &str = "Another prompt of one block and a bit. Another prompt of one block.";

#[actix_rt::test]
async fn a_stream_is_whole_and_the_second_asker_of_a_scope_finds_it_cached() {
    let engine = start_engine();
    let cases = [(SCOPE, "0"), (SCOPE, "64"), ("other/m/", "0")];
    for (scope, cached) in cases {
        let call = EngineCall::new(LONG).with("x-cache-scope", scope);
        let mut answer = call.send(&engine).await.unwrap();
        assert_eq!(header(&answer, "x-cached-tokens"), cached, "{scope}");
        assert_eq!(header(&answer, "x-request-id"), "r.1");
        assert_eq!(header(&answer, "x-weights-version"), "1");
        assert_eq!(events(&answer.body().await.unwrap()), call.expected("r.1", 0));
    }
}

struct RefusalCase {
    name: &'static str,
    fault: FaultOrder,
    header: (&'static str, &'static str),
    status: u16,
}

/// The caller sees a refusal that says that nothing ran, and nothing did: no block is cached.
#[actix_rt::test]
async fn refusals_run_nothing() {
    let none = FaultOrder::default;
    let cases = [
        RefusalCase {
            name: "older weights are asked for",
            fault: none(),
            header: ("x-weights-version", "7"),
            status: 409,
        },
        RefusalCase {
            name: "the engine refuses",
            fault: FaultOrder { refuse: Some(true), ..none() },
            header: ("x-priority", "0"),
            status: 503,
        },
    ];
    for case in cases {
        let engine = start_engine();
        engine.fault(&case.fault).await;
        let call = EngineCall::new(LONG).with(case.header.0, case.header.1);
        let answer = call.send(&engine).await.unwrap();
        assert_eq!(answer.status().as_u16(), case.status, "{}", case.name);
        assert_eq!(header(&answer, "x-not-run"), "true", "{}", case.name);
        let page = engine.get("/control/events?from=0").await;
        assert_eq!(page["events"], json!([]), "{}", case.name);
    }
}

struct FaultCase {
    name: &'static str,
    fault: FaultOrder,
    expected: fn(&EngineCall) -> Vec<String>,
}

/// The faults end streams as the real ones would: a truncated stream ends without `[DONE]` and
/// without an error of the connection; a crossed one names another request.
#[actix_rt::test]
async fn faulty_streams() {
    let cases = [
        FaultCase {
            name: "truncated after two tokens",
            fault: FaultOrder { truncate_streams: Some(1), ..FaultOrder::default() },
            expected: |call| call.expected("r.1", 0)[..2].to_vec(),
        },
        FaultCase {
            name: "none",
            fault: FaultOrder::default(),
            expected: |call| call.expected("r.1", 0),
        },
    ];
    let engine = start_engine();
    for case in cases {
        engine.fault(&case.fault).await;
        let call = EngineCall::new("p");
        let mut answer = call.send(&engine).await.unwrap();
        let body = answer.body().await.unwrap();
        assert_eq!(events(&body), (case.expected)(&call), "{}", case.name);
    }
    engine.fault(&FaultOrder { cross_answers: Some(1), ..FaultOrder::default() }).await;
    let mut answer = EngineCall::new("p").send(&engine).await.unwrap();
    assert_eq!(header(&answer, "x-request-id"), "crossed-r.1");
    let crossed = events(&answer.body().await.unwrap());
    assert_ne!(crossed[0], EngineCall::new("p").expected("crossed-r.1", 0)[0], "other text too");
}

/// The caller gets no answer although the engine ran its prompt, as the cached blocks show.
#[actix_rt::test]
async fn a_lost_answer_ran() {
    let engine = start_engine();
    engine.fault(&FaultOrder { lose_answers: Some(1.0), ..FaultOrder::default() }).await;
    assert!(EngineCall::new(LONG).send(&engine).await.is_err());
    let page = engine.get("/control/events?from=0").await;
    assert_eq!(page["events"].as_array().unwrap().len(), 4);
}

/// The caller waits while the engine is frozen and gets its stream whole afterwards.
#[actix_rt::test]
async fn a_frozen_engine_goes_on_after_its_thaw() {
    let engine = start_engine();
    let call = EngineCall { max_tokens: 30, ..EngineCall::new("p") };
    let mut answer = call.send(&engine).await.unwrap();
    engine.fault(&FaultOrder { freeze_ms: Some(100), ..FaultOrder::default() }).await;
    assert_eq!(events(&answer.body().await.unwrap()), call.expected("r.1", 0));
}

#[actix_rt::test]
async fn a_resumed_stream_goes_on_at_its_index() {
    let engine = start_engine();
    let call = EngineCall::new(LONG).with("x-resume-from", "3");
    let mut answer = call.send(&engine).await.unwrap();
    assert_eq!(events(&answer.body().await.unwrap()), call.expected("r.1", 3));
}

/// The caller sees its stream break in the middle. The engine crashes after the first tokens, all
/// its connections drop, and it comes back empty under a higher incarnation.
#[actix_rt::test]
async fn a_crash_cuts_streams_and_empties_the_cache() {
    let engine = start_engine();
    let before = engine.get("/control/state").await["incarnation"].as_u64().unwrap();
    let call = EngineCall { max_tokens: 60_000, ..EngineCall::new(LONG) };
    let mut answer = call.send(&engine).await.unwrap();
    assert!(answer.next().await.unwrap().is_ok());
    engine.crash().await;
    while let Some(chunk) = answer.next().await {
        if chunk.is_err() {
            break;
        }
    }
    let state = engine.get("/control/state").await;
    assert!(before < state["incarnation"].as_u64().unwrap());
    let again = EngineCall::new(LONG).send(&engine).await.unwrap();
    assert_eq!(header(&again, "x-cached-tokens"), "0");
}

/// A request crashes the engine that runs it, and the others on the engine are cut with it.
#[actix_rt::test]
async fn a_marked_prompt_crashes_the_engine() {
    let engine = start_engine();
    let fault = FaultOrder {
        crash_marker: Some("poison".to_owned()),
        marker_down_ms: Some(10),
        ..FaultOrder::default()
    };
    engine.fault(&fault).await;
    assert!(EngineCall::new("a poison pill").send(&engine).await.is_err());
    engine.get("/control/state").await;
    assert_eq!(engine.get("/faults").await["crashes"], 1);
    assert!(EngineCall::new("harmless").send(&engine).await.is_ok());
}

/// The caller hangs up in the middle of its stream; its place in the engine must come free, or
/// callers who left would hold it.
#[actix_rt::test]
async fn a_caller_that_hangs_up_in_its_stream_frees_its_slot() {
    let engine = start_engine();
    let call = EngineCall { max_tokens: 60_000, ..EngineCall::new("p") };
    let answer = call.send(&engine).await.unwrap();
    wait_for_running(&engine, 1).await;
    drop(answer);
    wait_for_running(&engine, 0).await;
}

/// The caller hangs up before its first token, which an engine this slow would give in days.
#[actix_rt::test]
async fn a_caller_that_hangs_up_before_its_stream_frees_its_slot() {
    let engine = start_engine();
    engine.fault(&FaultOrder { slow_factor: Some(1e9), ..FaultOrder::default() }).await;
    let call = EngineCall::new("p");
    tokio::select! {
        _ = call.send(&engine) => panic!("no token can be there"),
        () = wait_for_running(&engine, 1) => (),
    }
    wait_for_running(&engine, 0).await;
}

async fn wait_for_running(engine: &StandRun, running: u64) {
    let reached = async { while engine.get("/control/state").await["running"] != running {} };
    timeout(Duration::from_secs(30), reached).await.expect("the report comes to it");
}

struct OrderCase {
    name: &'static str,
    fenced: bool,
    fences: [u64; 2],
    deadline_ms: u64,
    statuses: [u16; 2],
}

#[actix_rt::test]
async fn orders_are_fenced_where_the_engine_checks() {
    let late = 1;
    let never = u64::MAX;
    let cases = [
        OrderCase {
            name: "an old number is refused",
            fenced: true,
            fences: [5, 4],
            deadline_ms: never,
            statuses: [202, 409],
        },
        OrderCase {
            name: "the same number is taken again",
            fenced: true,
            fences: [5, 5],
            deadline_ms: never,
            statuses: [202, 202],
        },
        OrderCase {
            name: "an engine that does not check takes the old number",
            fenced: false,
            fences: [5, 4],
            deadline_ms: never,
            statuses: [202, 202],
        },
        OrderCase {
            name: "late orders are void",
            fenced: false,
            fences: [5, 6],
            deadline_ms: late,
            statuses: [410, 410],
        },
    ];
    for case in cases {
        let settings =
            fulmargate_stand::EngineSettings { fenced: case.fenced, ..engine_settings("e1") };
        let engine = StandRun::start(engine_server(settings).unwrap());
        for (fence, status) in case.fences.into_iter().zip(case.statuses) {
            let order = json!({
                "id": "o", "fence": fence, "deadline_ms": case.deadline_ms, "kind": "set_role",
                "role": "decode",
            });
            let (got, _) = engine.post("/control/orders", &order).await.unwrap();
            assert_eq!(got, status, "{} {fence}", case.name);
        }
    }
}

/// New weights are loaded by an order. Callers see refusals that ran nothing until the load ends;
/// what was cached under the old weights is of no use under the new ones.
#[actix_rt::test]
async fn new_weights_empty_the_cache() {
    let mut settings = engine_settings("e1");
    settings.rates.load_ms = 30;
    let engine = StandRun::start(engine_server(settings).unwrap());
    EngineCall::new(LONG).send(&engine).await.unwrap().body().await.unwrap();
    let order = json!({
        "id": "o", "fence": 1, "deadline_ms": u64::MAX, "kind": "load_weights", "model": "m",
        "version": 2,
    });
    assert_eq!(engine.post("/control/orders", &order).await.unwrap().0, 202);
    let refused = EngineCall::new(LONG).send(&engine).await.unwrap();
    assert_eq!((refused.status().as_u16(), &*header(&refused, "x-not-run")), (503, "true"));
    while engine.get("/control/state").await["weights"]["m"] != 2 {}
    let answer = EngineCall::new(LONG).send(&engine).await.unwrap();
    assert_eq!(header(&answer, "x-weights-version"), "2");
    assert_eq!(header(&answer, "x-cached-tokens"), "0");
}

/// The caller sees cached tokens on an engine that never computed them. They are taken in from a
/// neighbour under the same scope and weights; another scope finds nothing there.
#[actix_rt::test]
async fn blocks_are_imported_from_a_neighbour_of_the_same_scope_only() {
    let source = start_engine();
    EngineCall::new(LONG).send(&source).await.unwrap().body().await.unwrap();
    let mut settings = engine_settings("e2");
    settings.neighbours.insert("e1".into(), source.address);
    let engine = StandRun::start(engine_server(settings).unwrap());
    for (scope, cached) in [("other/m/", "0"), (SCOPE, "64")] {
        let call = EngineCall::new(LONG).with("x-kv-source", "e1").with("x-cache-scope", scope);
        let mut answer = call.send(&engine).await.unwrap();
        assert_eq!(header(&answer, "x-cached-tokens"), cached, "{scope}");
        assert_eq!(events(&answer.body().await.unwrap()), call.expected("r.1", 0));
    }
}

struct ImportCase {
    name: &'static str,
    scope: &'static str,
    weights: u64,
    chain_of: &'static str,
    cached: &'static str,
}

/// The caller must never get an answer that rests on foreign blocks. A source answers an import
/// with another team's blocks, with older ones or with those of another prompt; they are left.
#[actix_rt::test]
async fn imported_blocks_are_checked_on_arrival() {
    let cases = [
        ImportCase { name: "own", scope: SCOPE, weights: 1, chain_of: LONG, cached: "64" },
        ImportCase { name: "scope", scope: "other/m/", weights: 1, chain_of: LONG, cached: "0" },
        ImportCase { name: "weights", scope: SCOPE, weights: 0, chain_of: LONG, cached: "0" },
        ImportCase { name: "chain", scope: SCOPE, weights: 1, chain_of: OTHER, cached: "0" },
    ];
    for case in cases {
        let chain = token::block_hashes(SCOPE, 1, case.chain_of);
        let hashes: Vec<String> = chain.iter().map(|hash| format!("{hash:016x}")).collect();
        let run = json!({ "scope": case.scope, "weights": case.weights, "hashes": hashes });
        let source = start_source(run);
        let mut settings = engine_settings("e1");
        settings.neighbours.insert("source".into(), source);
        let engine = StandRun::start(engine_server(settings).unwrap());
        let call = EngineCall::new(LONG).with("x-kv-source", "source");
        let answer = call.send(&engine).await.unwrap();
        assert_eq!(header(&answer, "x-cached-tokens"), case.cached, "{}", case.name);
        let stored = engine.get("/control/events?from=0").await["events"].as_array().unwrap().len();
        assert_eq!(stored, 4, "{}: the prompt's own blocks and no others", case.name);
    }
}

/// A source that answers every import with the same run.
fn start_source(run: Value) -> SocketAddr {
    let app = move || {
        let run = run.clone();
        App::new().default_service(web::to(move || {
            let answer = HttpResponse::Ok().json(&run);
            async { answer }
        }))
    };
    let server = HttpServer::new(app).workers(1).disable_signals().bind("127.0.0.1:0").unwrap();
    let address = server.addrs()[0];
    actix_rt::spawn(server.run());
    address
}

#[actix_rt::test]
async fn blocks_of_other_weights_are_not_taken_in() {
    let engine = start_engine();
    let foreign = json!({ "scope": SCOPE, "weights": 9, "hashes": ["00000000000000ff"] });
    assert_eq!(engine.post("/kv/import", &foreign).await.unwrap().0, 409);
}

#[actix_rt::test]
async fn a_misspelt_fault_is_refused() {
    let engine = start_engine();
    let (status, _) = engine.post("/faults", &json!({ "freez_ms": 5 })).await.unwrap();
    assert_eq!(status, 400);
}
