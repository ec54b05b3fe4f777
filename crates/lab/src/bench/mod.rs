//! The experiments.

mod direct;
mod load;
mod process;
mod scenario;

pub use load::{LoadPlan, drive};
pub use process::ProcessUsage;
pub use scenario::{BenchSettings, Scenario, policy_name, run};
