//! Accepts callers, holds their requests and answers, and dispatches them.
//!
//! The node that issued a request's key is its *home* and the only one that may
//! dispatch it, so that "at most once" is a fact of one process.

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
pub use crate::response_buffer::{End, ResponseBuffer, ResponseEvent, ResponseReader};
pub use crate::witness::Witness;
