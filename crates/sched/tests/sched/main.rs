//! The scheduler: cases, properties, and who owns what.

mod helper;
mod properties;
mod scheduling;
mod topology;
