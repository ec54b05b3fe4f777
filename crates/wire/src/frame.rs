//! Encoding, decoding and reassembly of frames.

use bincode::config;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use derive_more::{Display, Error, From};

use crate::Message;

/// Maximum length of a frame body, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Length of the prefix that holds a frame's length, in bytes.
const LENGTH_BYTES: usize = 4;

/// Error of encoding or decoding a frame.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The message cannot be encoded.
    #[display("cannot encode message: {_0}")]
    Encode(bincode::error::EncodeError),
    /// The bytes are not a valid message of this version.
    #[display("cannot decode message: {_0}")]
    Decode(bincode::error::DecodeError),
    /// The frame is longer than allowed, [`MAX_FRAME_BYTES`] or less.
    #[display("frame of {len} bytes is too long")]
    #[from(skip)]
    TooLong {
        /// The length in bytes.
        len: usize,
    },
    /// The frame has trailing bytes after its message.
    #[display("{extra} bytes follow the message in its frame")]
    #[from(skip)]
    Trailing {
        /// Number of trailing bytes.
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
/// If the bytes are not exactly one message.
pub fn decode(body: &[u8]) -> Result<Message> {
    let cfg = config::standard().with_limit::<MAX_FRAME_BYTES>();
    let (message, used) = bincode::serde::decode_from_slice(body, cfg)?;
    match body.len() - used {
        0 => Ok(message),
        extra => Err(Error::Trailing { extra }),
    }
}

/// Reassembles messages from received bytes.
#[derive(Debug)]
pub struct FrameBuffer {
    buf: BytesMut,
    max_bytes: usize,
}

impl Default for FrameBuffer {
    fn default() -> Self {
        Self {
            buf: BytesMut::new(),
            max_bytes: MAX_FRAME_BYTES,
        }
    }
}

impl FrameBuffer {
    /// Sets the maximum length of a frame body, in bytes; [`MAX_FRAME_BYTES`] at first.
    pub fn set_max_bytes(&mut self, bytes: usize) {
        self.max_bytes = bytes.min(MAX_FRAME_BYTES);
    }

    /// Appends received bytes.
    pub fn extend(&mut self, data: &[u8]) {
        self.buf.extend_from_slice(data);
    }

    /// Number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// Whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    /// Removes and decodes the next complete message, if there is one.
    ///
    /// # Errors
    ///
    /// If the frame is too long or malformed; the connection is unusable after that.
    pub fn next_message(&mut self) -> Result<Option<Message>> {
        if self.buf.len() < LENGTH_BYTES {
            return Ok(None);
        }
        let len = (&self.buf[..LENGTH_BYTES]).get_u32() as usize;
        match self.buf.len() - LENGTH_BYTES {
            _ if len > self.max_bytes => Err(Error::TooLong { len }),
            have if have < len => Ok(None),
            _ => {
                self.buf.advance(LENGTH_BYTES);
                decode(&self.buf.split_to(len)).map(Some)
            }
        }
    }
}
