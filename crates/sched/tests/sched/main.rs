//! Tests of the scheduler: scheduling, invariants and shard ownership.

mod helper;
mod properties;
mod scheduling;
mod topology;
