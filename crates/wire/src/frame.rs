//! Encoding, decoding and reassembly of frames.

use bincode::config;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use derive_more::{Display, Error, From};

use crate::Message;

/// Largest frame that is sent or accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;

/// A frame that cannot be encoded or decoded.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The message does not fit into a frame.
    #[display("cannot encode message: {_0}")]
    Encode(bincode::error::EncodeError),
    /// The bytes are no message of this version.
    #[display("cannot decode message: {_0}")]
    Decode(bincode::error::DecodeError),
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[display("frame of {len} bytes exceeds {MAX_FRAME_BYTES}")]
    #[from(skip)]
    TooLong {
        /// The announced length in bytes.
        len: usize,
    },
    /// Bytes follow the message inside its frame.
    #[display("{extra} bytes follow the message in its frame")]
    #[from(skip)]
    Trailing {
        /// How many bytes follow.
        extra: usize,
    },
}

/// The result of encoding or decoding a frame.
pub type Result<T> = std::result::Result<T, Error>;

/// Encodes one message as a frame.
///
/// # Errors
///
/// [`Error::TooLong`] if the message exceeds [`MAX_FRAME_BYTES`].
pub fn encode(message: &Message) -> Result<Bytes> {
    let body = bincode::serde::encode_to_vec(message, config::standard())?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(Error::TooLong { len: body.len() });
    }
    let mut buf = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    buf.put_u32(body.len() as u32);
    buf.put_slice(&body);
    Ok(buf.freeze())
}

/// Decodes the body of one frame.
///
/// # Errors
///
/// Any text that is not exactly one message.
pub fn decode(body: &[u8]) -> Result<Message> {
    let cfg = config::standard().with_limit::<MAX_FRAME_BYTES>();
    let (message, used) = bincode::serde::decode_from_slice(body, cfg)?;
    match body.len() - used {
        0 => Ok(message),
        extra => Err(Error::Trailing { extra }),
    }
}

/// Collects received bytes and yields whole messages.
#[derive(Debug, Default)]
pub struct FrameBuffer {
    buf: BytesMut,
}

impl FrameBuffer {
    /// Adds received bytes.
    pub fn extend(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Takes the next whole message, if there is one.
    ///
    /// # Errors
    ///
    /// A frame that is too long or holds no message; the connection is then unusable.
    pub fn next_message(&mut self) -> Result<Option<Message>> {
        if self.buf.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let len = (&self.buf[..LENGTH_BYTES]).get_u32() as usize;
        match self.buf.len() - LENGTH_BYTES {
            _ if len > MAX_FRAME_BYTES => Err(Error::TooLong { len }),
            have if have < len => Ok(None),
            _ => {
                self.buf.advance(LENGTH_BYTES);
                decode(&self.buf.split_to(len)).map(Some)
            }
        }
    }
}
