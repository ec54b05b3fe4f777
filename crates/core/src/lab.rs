//! Experiments and fakes.

use rwd_lab::Report;
use rwd_lab::bench::{self, BenchSettings};
use rwd_lab::fake::{Engine, FakeInstanceList, FakeLog, FakeService, Ledger};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use crate::resolved::{Fake, Format};
use crate::{Error, Result};

/// Runs experiments in sequence; fails if any violated an invariant or lost a request.
pub(crate) async fn bench(settings: &[BenchSettings], format: Format) -> Result<ExitCode> {
    let mut reports = Vec::new();
    for cfg in settings {
        let report = bench::run(cfg).await?;
        if format == Format::Table {
            println!("{report}\n");
        }
        reports.push(report);
    }
    if format == Format::Json {
        let json = match &reports[..] {
            [report] => serde_json::to_string_pretty(report)?,
            reports => serde_json::to_string_pretty(reports)?,
        };
        println!("{json}");
    }
    match reports.iter().all(Report::is_clean) {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}

/// Runs a fake until the process is killed.
pub(crate) async fn fake(fake: Fake, listen: SocketAddr) -> Result<ExitCode> {
    let ledger = Arc::new(Ledger::default());
    let io = |e| Error::Lab(rwd_lab::Error::Io(e));
    match fake {
        Fake::Engine(cfg) => {
            let engine = Engine::start(listen, cfg, ledger).await.map_err(io)?;
            keep_running(engine.address(), &engine).await
        }
        Fake::Service(cfg) => {
            let service = FakeService::start(listen, cfg, ledger).await.map_err(io)?;
            keep_running(service.address(), &service).await
        }
        Fake::Log => {
            let log = FakeLog::start(listen).await.map_err(io)?;
            keep_running(log.address(), &log).await
        }
        Fake::Instances { lag } => {
            let instances = FakeInstanceList::start(listen, lag).await.map_err(io)?;
            keep_running(instances.address(), &instances).await
        }
    }
}

// Prints the address of a fake and keeps the fake running.
async fn keep_running<T>(address: SocketAddr, _running: &T) -> Result<ExitCode> {
    println!("listening on {address}");
    std::future::pending().await
}
