//! Tests of placement under given load patterns, without a network.

mod choice;
mod helper;
mod overload;
mod properties;
