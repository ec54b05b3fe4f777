//! Injects failures one at a time and checks that each is handled.

mod bad_input;
mod helper;
mod requests;
mod system;
