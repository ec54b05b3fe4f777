//! Each external service client against its fake: the guarantees of the protocol and its faults.

use bytes::Bytes;
use rwd_edge::{
    Error, HttpInstanceList, HttpLog, HttpTargets, Instance, InstanceList, InstanceRole,
    InstanceState, Log, SseParser, TargetRequest, TargetResponse, Targets,
};
use rwd_lab::fake::{
    Engine, EngineSettings, FakeInstanceList, FakeLog, FakeService, FaultSettings, Ledger,
    ServiceSettings,
};
use rwd_types::LogOffset;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const NO_WAIT: Duration = Duration::ZERO;
const LONG_WAIT: Duration = Duration::from_secs(30);

fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[tokio::test]
async fn the_log_returns_records_in_order_from_any_offset() {
    let fake = FakeLog::start(loopback()).await.unwrap();
    let log = HttpLog::new(fake.address());
    for i in 0..5_u64 {
        assert_eq!(
            log.append("s", format!("r{i}")).await.unwrap(),
            LogOffset(i)
        );
    }
    let batch = log.read("s", LogOffset(2), NO_WAIT).await.unwrap();
    let offsets: Vec<_> = batch
        .records
        .iter()
        .map(|r| (r.offset.0, r.data.as_str()))
        .collect();
    assert_eq!(offsets, [(2, "r2"), (3, "r3"), (4, "r4")]);
    assert_eq!((batch.first, batch.next), (LogOffset(0), LogOffset(5)));
    assert!(
        log.read("other", LogOffset(0), NO_WAIT)
            .await
            .unwrap()
            .records
            .is_empty()
    );
    fake.retain(2);
    let batch = log.read("s", LogOffset(0), NO_WAIT).await.unwrap();
    assert_eq!((batch.first, batch.records.len()), (LogOffset(3), 2));
    fake.truncate(1);
    assert_eq!(
        log.read("s", LogOffset(5), NO_WAIT).await.unwrap().next,
        LogOffset(4)
    );
}

#[tokio::test]
async fn a_waiting_reader_gets_the_next_record() {
    let fake = FakeLog::start(loopback()).await.unwrap();
    let log = HttpLog::new(fake.address());
    let reader = log.clone();
    let waiting = tokio::spawn(async move { reader.read("s", LogOffset(0), LONG_WAIT).await });
    log.append("s", "news".into()).await.unwrap();
    assert_eq!(waiting.await.unwrap().unwrap().records[0].data, "news");
}

#[tokio::test]
async fn each_log_fault_fails_the_append_or_changes_what_reads_return() {
    let with = |change: fn(&mut FaultSettings)| {
        let mut faults = FaultSettings::default();
        change(&mut faults);
        faults
    };
    let cases = [
        ("down", with(|f| f.down = true), false, 0),
        ("response lost", with(|f| f.lose_answers = 1), false, 1),
        ("doubled", with(|f| f.double_appends = 1), true, 2),
        ("lagging", with(|f| f.lag_records = 1), true, 0),
    ];
    for (name, faults, acknowledged, visible) in cases {
        let fake = FakeLog::start(loopback()).await.unwrap();
        let log = HttpLog::new(fake.address());
        fake.faults().set(faults.clone());
        assert_eq!(
            log.append("s", "r".into()).await.is_ok(),
            acknowledged,
            "{name}"
        );
        if !faults.down {
            let batch = log.read("s", LogOffset(0), NO_WAIT).await.unwrap();
            assert_eq!(batch.records.len(), visible, "{name}");
        }
    }
}

#[tokio::test]
async fn reads_of_the_instance_list_wait_for_a_change() {
    let fake = FakeInstanceList::start(loopback(), NO_WAIT).await.unwrap();
    let list = HttpInstanceList::new(fake.address());
    let empty = list.list(0, NO_WAIT).await.unwrap();
    assert!(empty.instances.is_empty());
    let reader = list.clone();
    let waiting = tokio::spawn(async move { reader.list(empty.version, LONG_WAIT).await });
    let instance = Instance {
        name: "n1".into(),
        role: InstanceRole::Node,
        state: InstanceState::Live,
        zone: "z".parse().unwrap(),
        http: loopback(),
        peer: Some(loopback()),
    };
    fake.put(instance.clone());
    let added = waiting.await.unwrap().unwrap();
    assert_eq!(added.instances, std::slice::from_ref(&instance));
    fake.leave("n1");
    let leaving = list.list(added.version, LONG_WAIT).await.unwrap();
    assert_eq!(
        leaving.instances,
        [Instance {
            state: InstanceState::Leaving,
            ..instance
        }]
    );
    fake.remove("n1");
    assert!(
        list.list(leaving.version, LONG_WAIT)
            .await
            .unwrap()
            .instances
            .is_empty()
    );
    fake.faults().set(FaultSettings {
        down: true,
        ..FaultSettings::default()
    });
    assert!(matches!(
        list.list(0, NO_WAIT).await,
        Err(Error::Status { status: 503 })
    ));
}

fn completion(output: u64) -> TargetRequest {
    let body = json!({
        "model": "m", "prompt": "x".repeat(1024), "max_tokens": output, "lab_tag": "t",
    });
    TargetRequest {
        path: "/v1/completions".into(),
        stream: "stream-1".into(),
        body: Bytes::from(body.to_string()),
    }
}

// Returns the IDs of up to `max_events` events and the last data, `[DONE]` for a complete stream.
async fn events(mut response: TargetResponse, max_events: usize) -> (Vec<u64>, String) {
    let mut parser = SseParser::default();
    let (mut ids, mut last) = (Vec::new(), String::new());
    while ids.len() < max_events {
        let Ok(Some(chunk)) = response.next().await else {
            break;
        };
        parser.extend(&chunk);
        while let Some(event) = parser.next_event().unwrap() {
            ids.extend(event.id);
            last = event.data;
        }
    }
    (ids, last)
}

async fn engine() -> (Engine, HttpTargets) {
    let cfg = EngineSettings {
        step_ms: 1.0,
        event_lag: NO_WAIT,
        event_gap_every: 0,
        ..EngineSettings::default()
    };
    let engine = Engine::start(loopback(), cfg, Arc::new(Ledger::default()))
        .await
        .unwrap();
    (engine, HttpTargets::default())
}

#[tokio::test]
async fn an_engine_streams_numbered_events_and_reports_cached_blocks() {
    let (engine, targets) = engine().await;
    let response = targets.call(engine.address(), completion(5)).await.unwrap();
    assert_eq!(
        events(response, 99).await,
        (vec![1, 2, 3, 4, 5], "[DONE]".into())
    );
    let second = TargetRequest {
        stream: "stream-2".into(),
        ..completion(1)
    };
    let mut response = targets.call(engine.address(), second).await.unwrap();
    let text = String::from_utf8(response.next().await.unwrap().unwrap().to_vec()).unwrap();
    assert!(text.contains("\"cached_tokens\":255"), "{text}");
    let cached = targets.cache_events(engine.address(), 0).await.unwrap();
    assert_eq!(
        cached.events.len(),
        4,
        "1024 bytes are 256 tokens are 4 blocks"
    );
    assert!(cached.events.iter().all(|e| e.stored) && cached.next > 0);
    targets.load(engine.address()).await.unwrap();
}

#[tokio::test]
async fn a_stream_is_resumed_after_the_last_event_and_cancelled_by_name() {
    let (engine, targets) = engine().await;
    let at = engine.address();
    let response = targets.call(at, completion(400)).await.unwrap();
    let (seen, _) = events(response, 3).await;
    let last = *seen.last().unwrap();
    let resumed = targets.resume(at, "stream-1", Some(last)).await.unwrap();
    let (more, _) = events(resumed, 2).await;
    assert_eq!(more[0], last + 1);
    targets.cancel(at, "stream-1").await.unwrap();
    let rest = targets.resume(at, "stream-1", Some(0)).await.unwrap();
    let (_, end) = events(rest, 1000).await;
    assert_ne!(end, "[DONE]", "a cancelled stream is not complete");
    assert!(matches!(
        targets.cancel(at, "stream-1").await,
        Err(Error::Status { status: 404 })
    ));
    assert_eq!(
        targets.resume(at, "nobody", None).await.unwrap().status,
        404
    );
}

#[tokio::test]
async fn a_response_lost_after_execution_can_be_fetched() {
    let (engine, targets) = engine().await;
    engine.faults().set(FaultSettings {
        lose_answers: 1,
        ..FaultSettings::default()
    });
    let lost = targets.call(engine.address(), completion(3)).await;
    assert!(matches!(lost, Err(Error::Broken { .. })));
    let response = targets
        .resume(engine.address(), "stream-1", None)
        .await
        .unwrap();
    assert_eq!(events(response, 99).await.0, [1, 2, 3]);
    assert_eq!(engine.ledger().runs("stream-1").len(), 1);
}

#[tokio::test]
async fn only_a_refused_connection_reports_that_nothing_was_sent() {
    let targets = HttpTargets::default();
    let closed = std::net::TcpListener::bind(loopback())
        .unwrap()
        .local_addr()
        .unwrap();
    let refused = targets.call(closed, completion(1)).await;
    assert!(matches!(refused, Err(Error::Connect { .. })), "{refused:?}");
    let cfg = ServiceSettings::default();
    let service = FakeService::start(loopback(), cfg, Arc::new(Ledger::default()))
        .await
        .unwrap();
    service.faults().set(FaultSettings {
        lose_answers: 1,
        ..FaultSettings::default()
    });
    let call = || TargetRequest {
        path: "/act".into(),
        stream: "call-1".into(),
        body: Bytes::from_static(b"{}"),
    };
    let lost = targets.call(service.address(), call()).await;
    assert!(matches!(lost, Err(Error::Broken { .. })), "{lost:?}");
    assert_eq!(service.ledger().runs("call-1").len(), 1, "the call ran");
    let response = targets.call(service.address(), call()).await.unwrap();
    assert_eq!(response.status, 200);
    assert_eq!(
        service.ledger().runs("call-1").len(),
        2,
        "the client did not retry by itself"
    );
}
