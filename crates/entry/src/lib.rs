//! Accepts requests from callers, dispatches them to targets and buffers the responses.
//!
//! The node named in a request's key is its *home node* and the only one that may
//! dispatch it, so at-most-once execution is enforced within one process.

mod addresses;
mod api;
mod body;
mod call;
mod dispatch;
mod forward;
mod home;
mod incoming;
mod key_table;
mod owner_link;
mod problem_json;
mod respond;
mod response_buffer;
mod slot;
mod stream_relay;
mod witness;

pub use crate::addresses::{SUBSET_SIZE, node_subset};
pub use crate::api::{Api, Caller};
pub use crate::body::ResponseBody;
pub use crate::home::{EntryDeps, EntrySettings, HomeNode, Load};
pub use crate::key_table::{Admission, KeyTable, KeyTableSettings};
pub use crate::problem_json::problem_response;
pub use crate::response_buffer::{ResponseBuffer, ResponseEnd, ResponseEvent, ResponseReader};
pub use crate::witness::Witness;
