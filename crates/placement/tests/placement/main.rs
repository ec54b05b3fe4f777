//! Placement under named patterns of load, without a network.

mod choice;
mod helper;
mod overload;
mod properties;
