//! Messages between nodes and their framing.
//!
//! A frame is a four-byte big-endian length followed by one bincode-encoded
//! [`Message`]. The length and the decoder's allocations are bounded, so that
//! malformed input can cause neither panics nor unbounded allocation.

mod frame;
mod message;

pub use crate::frame::{Error, FrameBuffer, MAX_FRAME_BYTES, Result, decode, encode};
pub use crate::message::{
    Adopted, Digest, ForwardHead, Gossip, Grant, GrantId, GrantOutcome, GrantReport, Hello,
    KnownOrder, Liveness, MAX_ROOM_ROWS, MAX_SHARE_ROWS, MemberUpdate, Message, NONCE_BYTES,
    NotDialed, Offer, Placed, QuotaTotals, ResponseHead, ShardId, ShardReport, ShardRoom,
    StoreAccess, StoreCursor, StoreUpdate, VERSION, Verdict,
};
