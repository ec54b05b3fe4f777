//! Tests of placement under given load patterns, without a network.

mod broken;
mod choice;
mod handover;
mod helper;
mod limits;
mod overload;
mod precedence;
mod properties;
mod rooms;
mod withheld;
