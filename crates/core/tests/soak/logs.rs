//! What remains of the log of a process that is busy, whose log is not read, or that ends.

use crate::cluster::TestCluster;
use crate::records::{Kind, Records};
use rwd_lab::site::Behaviour;
use tokio::io::AsyncReadExt;

/// Requests whose log lines fill a pipe and the queue behind it.
const LOAD: usize = 2000;

/// Guards against second sends that leave no trace: the lines of a killed process were lost, and those
/// of a process whose log is read slowly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_send_is_in_the_log_of_a_killed_process_that_nobody_reads() {
    let cluster = TestCluster::start(1).await;
    let records = Records::default();
    let mut log = cluster.nodes[0].restart_with_unread_log().await;
    records.await_serving(&cluster, 0).await;
    for _ in 0..LOAD {
        records.call(&cluster, 0, Kind::Safe, "load").await;
    }
    let targets = || cluster.targets.iter().enumerate();
    let refused = || {
        let desks = targets().filter(|(n, _)| TestCluster::is_desk(*n));
        let arrivals = desks.flat_map(|(_, t)| t.arrivals());
        let refused = arrivals.filter(|a| !a.started);
        let ids = refused.map(|a| a.header("request-id").unwrap_or_default().to_owned());
        ids.collect::<Vec<_>>()
    };
    // The one that gets the request refuses it, and the other one runs it.
    cluster.targets[0].script(&[Behaviour::NotRun]);
    while refused().is_empty() {
        assert!(records.call(&cluster, 0, Kind::Unsafe, "twice").await);
    }
    cluster.nodes[0].kill().await;
    let mut text = String::new();
    log.read_to_string(&mut text).await.unwrap();
    for id in refused() {
        let id = format!("\"{id}\"");
        let mut lines = text.lines().filter(|l| l.contains("\"second_send\""));
        assert!(lines.any(|l| l.contains(&id)), "no second send of {id}");
    }
    records.check(&cluster, 0);
}

/// Guards against the loss of the last lines of a process that exits.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_last_lines_of_a_process_that_exits_are_in_its_log() {
    let cluster = TestCluster::start(1).await;
    Records::default().await_serving(&cluster, 0).await;
    cluster.nodes[0].stop().await;
    let lines = cluster.nodes[0].lines();
    let last = lines.last().expect("it logs its start");
    assert!(last.contains("\"event\":\"stopped\""), "{last}");
}
