//! Accepts callers, holds their requests and answers, and dispatches them.
//!
//! The node that issued a request's key is its *home* and the only one that may
//! dispatch it, so that "at most once" is a fact of one process.

mod addresses;
mod answer;
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
mod slot;
mod stream_relay;
mod witness;

pub use crate::addresses::{HOME_SET, home_set};
pub use crate::answer::{Answer, AnswerEvent, End, Follow};
pub use crate::api::{Api, Caller};
pub use crate::body::ResponseBody;
pub use crate::home::{EntryParts, EntrySettings, Home, Load};
pub use crate::key_table::{Admission, KeyTable, KeyTableSettings};
pub use crate::problem_json::problem_response;
pub use crate::witness::Witness;
