//! Failures that the mechanisms are there for, brought about one by one.

mod bad_input;
mod helper;
mod requests;
mod system;
