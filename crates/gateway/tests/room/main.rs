//! Tests of the choice of shards by their room, without a network.

mod choices;
mod failures;
mod helper;
mod scenario;
mod waves;
