//! One conversation between two nodes: messages in both directions on one stream.

use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::{Reason, RecvStream, SendStream};
use rwd_wire::{FrameBuffer, Message, encode};
use std::future::poll_fn;
use std::time::Duration;
use tokio::time::timeout;

use crate::keep_alive::Use;
use crate::{Error, Result};

enum Incoming {
    Waiting(ResponseFuture),
    Open(RecvStream),
}

/// A stream of messages to and from one peer; dropping it resets the stream.
pub struct Exchange {
    tx: SendStream<Bytes>,
    rx: Incoming,
    frames: FrameBuffer,
    ended: bool,
    // Counts the exchange among those of its connection.
    _in_use: Use,
}

impl Exchange {
    pub(crate) fn opened(tx: SendStream<Bytes>, rx: ResponseFuture, in_use: Use) -> Self {
        Self::new(tx, Incoming::Waiting(rx), in_use)
    }

    pub(crate) fn accepted(tx: SendStream<Bytes>, rx: RecvStream, in_use: Use) -> Self {
        Self::new(tx, Incoming::Open(rx), in_use)
    }

    fn new(tx: SendStream<Bytes>, rx: Incoming, in_use: Use) -> Self {
        Self {
            tx,
            rx,
            frames: FrameBuffer::default(),
            ended: false,
            _in_use: in_use,
        }
    }

    /// Sends one message.
    ///
    /// # Errors
    ///
    /// Fails when the connection is gone or the peer has reset the stream.
    pub async fn send(&mut self, message: &Message) -> Result<()> {
        self.write(encode(message)?, false).await
    }

    /// Sends one message and ends this side of the exchange.
    ///
    /// # Errors
    ///
    /// As [`Exchange::send`].
    pub async fn send_last(&mut self, message: &Message) -> Result<()> {
        self.ended = true;
        self.write(encode(message)?, true).await
    }

    /// Sends one message, ends this side of the exchange and waits until the peer ends its own.
    ///
    /// An exchange that is dropped while the peer's side is open is reset, and a reset can overtake
    /// the message.
    ///
    /// # Errors
    ///
    /// As [`Exchange::send`].
    pub async fn finish(mut self, message: &Message) -> Result<()> {
        self.send_last(message).await?;
        // The peer ends its side by returning or by a reset; either way it has read the message.
        while let Ok(Some(_)) = self.recv().await {}
        Ok(())
    }

    async fn write(&mut self, mut data: Bytes, last: bool) -> Result<()> {
        while !data.is_empty() {
            self.tx.reserve_capacity(data.len());
            let granted = poll_fn(|cx| self.tx.poll_capacity(cx)).await;
            let n = granted.ok_or(Error::Ended)??.min(data.len());
            let part = data.split_to(n);
            self.tx.send_data(part, last && data.is_empty())?;
        }
        Ok(())
    }

    /// Receives the next message; `None` when the peer has ended its side.
    ///
    /// Dropping the future loses nothing: what has arrived stays buffered.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the bytes are no message.
    pub async fn recv(&mut self) -> Result<Option<Message>> {
        loop {
            if let Some(message) = self.frames.next_message()? {
                return Ok(Some(message));
            }
            let rx = match &mut self.rx {
                Incoming::Open(rx) => rx,
                Incoming::Waiting(response) => {
                    let rx = response.await?.into_body();
                    self.rx = Incoming::Open(rx);
                    continue;
                }
            };
            match rx.data().await {
                Some(data) => {
                    let data = data?;
                    rx.flow_control().release_capacity(data.len())?;
                    self.frames.extend(&data);
                }
                None => return Ok(None),
            }
        }
    }

    /// Receives the next message within `limit`.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`], [`Error::Ended`], or as [`Exchange::recv`].
    pub async fn recv_within(&mut self, limit: Duration) -> Result<Message> {
        match timeout(limit, self.recv()).await {
            Ok(message) => message?.ok_or(Error::Ended),
            Err(_) => Err(Error::Timeout),
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.ended {
            self.tx.send_reset(Reason::CANCEL);
        }
    }
}
