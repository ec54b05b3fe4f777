//! Fakes of the platform and the targets, which also run as separate processes, and a TCP relay.

mod engine;
mod engine_sim;
mod faults;
mod instances;
mod ledger;
mod log;
mod prefix_cache;
mod service;
mod tcp_relay;

pub use engine::Engine;
pub use engine_sim::EngineSettings;
pub use faults::{FaultSettings, Faults};
pub use instances::FakeInstanceList;
pub use ledger::{Ledger, Run};
pub use log::FakeLog;
pub use service::{FakeService, ServiceSettings};
pub use tcp_relay::{RelayState, TcpRelay};
