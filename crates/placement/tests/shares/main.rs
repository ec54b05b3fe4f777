//! Shares of workspaces and returns of callers under load, without a network.

mod fairness;
mod load;
mod order;
mod returns;
