//! The experiments.

mod direct;
mod disturb;
mod load;
mod one_node;
mod process;
mod scenario;
mod slopes;

pub use load::{LoadPlan, LoadTarget, drive};
pub use process::ProcessUsage;
pub use scenario::{BenchSettings, Scenario, policy_name, run};
