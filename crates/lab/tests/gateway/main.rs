//! The gateway on loopback, in front of fakes of the users' platform.

mod bad_input;
mod helper;
mod nodes;
mod requests;
mod store;
