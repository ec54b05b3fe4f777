//! Publishing through a log with injected faults.

use futures_util::future::BoxFuture;
use rwd_control::{CONFIG_STREAM, Control, ControlSettings, Edit, Error, PublishId};
use rwd_edge::{Batch, Log, LogRecord};
use rwd_peer::{
    ByteCounter, Directory, KeepAlive, LinkSettings, Links, Membership, MembershipSettings,
};
use rwd_types::{Incarnation, LogOffset, PresetName, Revision, Secret};
use rwd_wire::{Liveness, MemberUpdate};
use serde_json::json;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Fault injected into the next append.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Fault {
    #[default]
    None,
    // Recorded, but the response is lost.
    ResponseLost,
    // Neither recorded nor answered.
    RequestLost,
    Duplicated,
    // Another operator's change on the same base is recorded first.
    Raced,
    Unavailable,
}

#[derive(Default)]
struct FaultyLog {
    records: Mutex<Vec<String>>,
    fault: Mutex<Fault>,
}

impl FaultyLog {
    fn rival_record(&self) -> String {
        let records = self.records.lock().unwrap();
        let last = records.last().cloned().unwrap_or_default();
        // The same base as the change being published.
        let mut value: serde_json::Value = serde_json::from_str(&last).unwrap_or_default();
        value["id"] = json!("rival");
        value["by"] = json!("the rival");
        value["base"] = json!(records.len());
        value["patch"] = json!([{ "op": "replace", "path": "/preset", "value": "maintenance" }]);
        value.to_string()
    }
}

fn unavailable() -> rwd_edge::Error {
    rwd_edge::Error::Status { status: 503 }
}

impl Log for FaultyLog {
    fn append<'a>(
        &'a self,
        _stream: &'a str,
        data: String,
    ) -> BoxFuture<'a, rwd_edge::Result<LogOffset>> {
        Box::pin(async move {
            let fault = std::mem::take(&mut *self.fault.lock().unwrap());
            let rival = (fault == Fault::Raced).then(|| self.rival_record());
            let mut records = self.records.lock().unwrap();
            match fault {
                Fault::Unavailable => return Err(unavailable()),
                Fault::RequestLost => return Err(rwd_edge::Error::Timeout),
                Fault::Raced => records.extend(rival),
                Fault::Duplicated => records.push(data.clone()),
                Fault::None | Fault::ResponseLost => (),
            }
            records.push(data);
            match fault {
                Fault::ResponseLost => Err(rwd_edge::Error::Timeout),
                _ => Ok(LogOffset(records.len() as u64 - 1)),
            }
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: LogOffset,
        _wait: Duration,
    ) -> BoxFuture<'a, rwd_edge::Result<Batch>> {
        Box::pin(async move {
            assert_eq!(stream, CONFIG_STREAM);
            if *self.fault.lock().unwrap() == Fault::Unavailable {
                return Err(unavailable());
            }
            let records = self.records.lock().unwrap();
            let rest = records.iter().enumerate().skip(from.0 as usize);
            let rest = rest.map(|(i, data)| LogRecord {
                offset: LogOffset(i as u64),
                data: data.clone(),
            });
            Ok(Batch {
                first: LogOffset(0),
                next: LogOffset(records.len() as u64),
                records: rest.collect(),
            })
        })
    }
}

fn control(log: Arc<FaultyLog>) -> Control {
    let address = "127.0.0.1:9".parse().unwrap();
    let own = MemberUpdate {
        name: "n".parse().unwrap(),
        incarnation: Incarnation(1),
        refutation: 0,
        liveness: Liveness::Alive,
        leaving: false,
        http: address,
        peer: address,
        zone: "z".parse().unwrap(),
        cpu_milli: 0,
    };
    let directory = Arc::new(Directory::new(own));
    let second = Duration::from_secs(1);
    let links = LinkSettings {
        own: "n".parse().unwrap(),
        secret: Secret::new("secret"),
        connect_timeout: second,
        keep_alive: KeepAlive {
            period: second,
            timeout: second,
        },
    };
    let links = Arc::new(Links::new(links, directory.clone(), ByteCounter::default()));
    let times = MembershipSettings {
        heartbeat: second,
        probe_timeout: second,
        suspicion: second,
    };
    let membership = Arc::new(Membership::new(times, directory.clone(), links.clone()));
    let cfg = ControlSettings {
        instance: "n".parse().unwrap(),
        snapshot_period: Duration::from_secs(600),
    };
    Control::new(cfg, log, directory, links, membership)
}

fn id(text: &str) -> PublishId {
    PublishId(text.into())
}

async fn publish_initial(control: &Control) {
    let config = json!({
        "preset": "ordinary",
        "presets": { "ordinary": {}, "peak": {}, "maintenance": {} },
        "zones": {},
        "tiers": { "t": { "rank": 0, "deadline": 10 } },
        "workspaces": {},
    });
    control
        .publish(id("first"), "setup".into(), None, &Edit::Replace { config })
        .await
        .unwrap();
}

const PEAK: Edit = Edit::Preset {
    name: PresetName::Peak,
};

#[tokio::test(start_paused = true)]
async fn each_fault_of_the_log_gets_its_true_verdict() {
    for (fault, expected) in [
        (Fault::None, "accepted"),
        (Fault::ResponseLost, "accepted"),
        (Fault::Duplicated, "accepted"),
        (Fault::Raced, "conflict with the rival"),
        (Fault::RequestLost, "unresolved"),
        (Fault::Unavailable, "log"),
    ] {
        let log = Arc::new(FaultyLog::default());
        let control = control(log.clone());
        publish_initial(&control).await;
        *log.fault.lock().unwrap() = fault;
        let verdict = match control
            .publish(id("second"), "op".into(), None, &PEAK)
            .await
        {
            Ok(published) => {
                assert_eq!(published.revision, Revision(2));
                "accepted".to_owned()
            }
            Err(Error::Conflict { winner, .. }) => format!("conflict with {winner}"),
            Err(Error::UnknownOutcome) => "unresolved".into(),
            Err(Error::Log(_)) => "log".into(),
            Err(e) => format!("{e:?}"),
        };
        assert_eq!(verdict, expected, "{fault:?}");
        let preset = control.in_force().cfg.preset;
        let expected = match fault {
            Fault::Raced => PresetName::Maintenance,
            Fault::RequestLost | Fault::Unavailable => PresetName::Ordinary,
            _ => PresetName::Peak,
        };
        assert_eq!(preset, expected, "{fault:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_publication_refused_while_the_log_was_unavailable_is_never_applied_later() {
    let log = Arc::new(FaultyLog::default());
    let control = control(log.clone());
    publish_initial(&control).await;
    *log.fault.lock().unwrap() = Fault::Unavailable;
    assert!(
        control
            .publish(id("refused"), "op".into(), None, &PEAK)
            .await
            .is_err()
    );
    *log.fault.lock().unwrap() = Fault::None;
    control
        .publish(
            id("later"),
            "op".into(),
            None,
            &Edit::Drain {
                name: "n1".into(),
                on: true,
            },
        )
        .await
        .unwrap();
    assert_eq!(control.in_force().cfg.preset, PresetName::Ordinary);
}

#[tokio::test(start_paused = true)]
async fn publishing_again_with_the_same_id_applies_it_once() {
    let log = Arc::new(FaultyLog::default());
    let control = control(log.clone());
    publish_initial(&control).await;
    for _ in 0..3 {
        let done = control
            .publish(id("same"), "op".into(), None, &PEAK)
            .await
            .unwrap();
        assert_eq!(done.revision, Revision(2));
    }
    assert_eq!(log.records.lock().unwrap().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_change_on_an_old_base_is_refused_with_the_winner() {
    let log = Arc::new(FaultyLog::default());
    let control = control(log.clone());
    publish_initial(&control).await;
    control
        .publish(id("a"), "ann".into(), Some(Revision(1)), &PEAK)
        .await
        .unwrap();
    let refused = control
        .publish(id("b"), "bob".into(), Some(Revision(1)), &PEAK)
        .await;
    match refused {
        Err(Error::Conflict {
            winner, in_force, ..
        }) => {
            assert_eq!((winner.as_str(), in_force), ("ann", Revision(2)));
        }
        other => panic!("{other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn an_invalid_configuration_is_never_appended() {
    let log = Arc::new(FaultyLog::default());
    let control = control(log.clone());
    let config = json!({ "preset": "peak" });
    let refused = control
        .publish(id("x"), "op".into(), None, &Edit::Replace { config })
        .await;
    assert!(matches!(refused, Err(Error::Config(_))));
    assert!(log.records.lock().unwrap().is_empty());
}
