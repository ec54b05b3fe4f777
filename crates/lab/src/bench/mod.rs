//! The experiments that `bench` runs.

mod direct;
mod disruptions;
mod load;
mod one_node;
mod process;
mod scenario;
mod slopes;

pub use load::{LoadPlan, LoadTarget, generate_load};
pub use process::ProcessUsage;
pub use scenario::{BenchSettings, Scenario, policy_name, run};
