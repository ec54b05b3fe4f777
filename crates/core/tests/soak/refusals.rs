//! Requests that may run once, at real processes, while targets refuse untruly, late or ambiguously.

use crate::cluster::TestCluster;
use crate::records::{Kind, Records};
use rwd_lab::site::{Behaviour, Late};
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

const CALLERS: usize = 4;
const REQUESTS: usize = 40;
/// Entries of targets that have ended, for each address.
const PREDECESSORS: usize = 10;
/// How often all callers send their requests to targets that were started again.
const ROUNDS: usize = 3;
/// The refusal of a full target, which does not name its request.
pub const FULL: &str = "503 Service Unavailable\r\nNot-Run: 1\r\n";
/// A response that says both that the request ran and that it did not.
pub const CONTRADICTION: &str = "200 OK\r\nRequest-Id: ID\r\nSeal: s\r\nNot-Run: 1\r\n";

// Callers send requests that may run once, while targets answer them in turn as `plan` says.
async fn run(plan: &[Behaviour]) {
    let (cluster, records) = start().await;
    send_requests(&cluster, &records, plan).await;
}

async fn start() -> (Arc<TestCluster>, Arc<Records>) {
    let cluster = Arc::new(TestCluster::start(2).await);
    let records = Arc::new(Records::default());
    for node in 0..cluster.nodes.len() {
        records.await_serving(&cluster, node).await;
    }
    (cluster, records)
}

async fn send_requests(cluster: &Arc<TestCluster>, records: &Arc<Records>, plan: &[Behaviour]) {
    for target in &cluster.targets {
        target.script(&plan.repeat(CALLERS * REQUESTS));
    }
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let (cluster, records) = (cluster.clone(), records.clone());
        callers.spawn(async move {
            for n in 0..REQUESTS {
                let kind = [Kind::Unsafe, Kind::Once][n / 4 % 2];
                let name = format!("c{caller}");
                records.call(&cluster, caller % 2, kind, &name).await;
            }
        });
    }
    while let Some(done) = callers.join_next().await {
        done.expect("a caller does not panic");
    }
    records.check(cluster, 0);
}

/// Guards against a late copy of a refusal that makes a booking run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_sent_again_make_no_request_run_twice() {
    run(&[Behaviour::RefuseTwice(FULL), Behaviour::Respond]).await;
}

/// Guards against a refusal after a complete response that makes a booking run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_after_complete_responses_make_no_request_run_twice() {
    run(&[Behaviour::RespondThenRefuse(FULL)]).await;
}

/// Guards against a response with a receipt and `Not-Run` that makes a booking run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn contradictory_responses_make_no_request_run_twice() {
    run(&[Behaviour::Claim(CONTRADICTION), Behaviour::Respond]).await;
}

/// Guards against connections that targets reset while requests are sent on them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resets_of_kept_connections_make_no_request_run_twice() {
    let plan = [
        Behaviour::Respond,
        Behaviour::RespondThenReset,
        Behaviour::Reset,
        Behaviour::Respond,
        Behaviour::Lost,
    ];
    run(&plan).await;
}

/// Guards against a refusal without an id that comes first on a new connection and makes a booking run
/// twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_that_come_first_on_connections_make_no_request_run_twice() {
    let (cluster, records) = start().await;
    for target in &cluster.targets {
        target.repeat_refusals(Some(Late::NextConnection));
    }
    let refusal = Behaviour::Refuse("503 Service Unavailable\r\nNot-Run: 1");
    send_requests(&cluster, &records, &[refusal, Behaviour::Respond]).await;
}

/// Guards against a refusal that names its booking and comes twice, when the booking is sent to the same
/// address again, to the target that was started there after the one that refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refusals_of_restarted_targets_make_no_request_run_twice() {
    let (cluster, records) = start().await;
    for (n, target) in cluster.targets.iter().enumerate() {
        target.accept_only(target.name());
        target.repeat_refusals(Some(Late::SameConnection));
        if TestCluster::is_desk(n) {
            // Busy targets, so that those that have ended are tried too.
            target.set_work_time(Duration::from_millis(40));
            for old in 0..PREDECESSORS {
                cluster.list_predecessor(n, &format!("old-{n}-{old}"));
            }
        }
    }
    for _ in 0..ROUNDS {
        send_requests(&cluster, &records, &[Behaviour::Respond]).await;
    }
}
