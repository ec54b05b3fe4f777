//! Message exchange between two nodes, in both directions on one HTTP/2 stream.

use bytes::Bytes;
use h2::client::ResponseFuture;
use h2::{Reason, RecvStream, SendStream};
use rwd_wire::{FrameBuffer, Message, encode};
use std::future::poll_fn;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

use crate::keep_alive::ExchangeGuard;
use crate::{Error, Result};

enum RecvHalf {
    Waiting(ResponseFuture),
    Open(RecvStream),
}

/// The sending side of an exchange; dropping it before its end resets the stream.
pub struct ExchangeSender {
    tx: SendStream<Bytes>,
    ended: bool,
    // Counts the exchange as open on its connection.
    _guard: Arc<ExchangeGuard>,
}

/// The receiving side of an exchange.
pub struct ExchangeReceiver {
    rx: RecvHalf,
    frames: FrameBuffer,
    _guard: Arc<ExchangeGuard>,
}

/// A stream of messages to and from one peer; dropping it resets the stream.
pub struct Exchange {
    sender: ExchangeSender,
    receiver: ExchangeReceiver,
}

impl ExchangeSender {
    /// Sends one message.
    ///
    /// # Errors
    ///
    /// Fails when the connection is closed or the peer has reset the stream.
    pub async fn send(&mut self, message: &Message) -> Result<()> {
        self.write(encode(message)?, false).await
    }

    /// Sends one message and ends this side of the exchange.
    ///
    /// # Errors
    ///
    /// As [`ExchangeSender::send`].
    pub async fn send_last(&mut self, message: &Message) -> Result<()> {
        self.ended = true;
        self.write(encode(message)?, true).await
    }

    async fn write(&mut self, mut data: Bytes, last: bool) -> Result<()> {
        while !data.is_empty() {
            self.tx.reserve_capacity(data.len());
            let granted = poll_fn(|cx| self.tx.poll_capacity(cx)).await;
            let n = granted.ok_or(Error::Ended)??.min(data.len());
            let chunk = data.split_to(n);
            self.tx.send_data(chunk, last && data.is_empty())?;
        }
        Ok(())
    }
}

impl Drop for ExchangeSender {
    fn drop(&mut self) {
        if !self.ended {
            self.tx.send_reset(Reason::CANCEL);
        }
    }
}

impl ExchangeReceiver {
    /// Receives the next message; `None` when the peer has ended its side.
    ///
    /// Cancel safe: received bytes stay buffered.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or the bytes are not a valid message.
    pub async fn recv(&mut self) -> Result<Option<Message>> {
        loop {
            if let Some(message) = self.next_buffered()? {
                return Ok(Some(message));
            }
            if !self.recv_piece().await? {
                return Ok(None);
            }
        }
    }

    fn next_buffered(&mut self) -> Result<Option<Message>> {
        Ok(self.frames.next_message()?)
    }

    // Receives some bytes; returns whether the peer has not ended its side. Cancel safe.
    async fn recv_piece(&mut self) -> Result<bool> {
        let rx = match &mut self.rx {
            RecvHalf::Open(rx) => rx,
            RecvHalf::Waiting(response) => {
                let rx = response.await?.into_body();
                self.rx = RecvHalf::Open(rx);
                return Ok(true);
            }
        };
        let Some(data) = rx.data().await else {
            return Ok(false);
        };
        let data = data?;
        rx.flow_control().release_capacity(data.len())?;
        self.frames.extend(&data);
        Ok(true)
    }
}

impl Exchange {
    pub(crate) fn opened(tx: SendStream<Bytes>, rx: ResponseFuture, guard: ExchangeGuard) -> Self {
        Self::new(tx, RecvHalf::Waiting(rx), guard)
    }

    pub(crate) fn accepted(tx: SendStream<Bytes>, rx: RecvStream, guard: ExchangeGuard) -> Self {
        Self::new(tx, RecvHalf::Open(rx), guard)
    }

    fn new(tx: SendStream<Bytes>, rx: RecvHalf, guard: ExchangeGuard) -> Self {
        let guard = Arc::new(guard);
        Self {
            sender: ExchangeSender {
                tx,
                ended: false,
                _guard: guard.clone(),
            },
            receiver: ExchangeReceiver {
                rx,
                frames: FrameBuffer::default(),
                _guard: guard,
            },
        }
    }

    /// The two sides, for messages both ways at the same time.
    pub fn split(self) -> (ExchangeSender, ExchangeReceiver) {
        (self.sender, self.receiver)
    }

    /// As [`ExchangeSender::send`].
    ///
    /// # Errors
    ///
    /// As [`ExchangeSender::send`].
    pub async fn send(&mut self, message: &Message) -> Result<()> {
        self.sender.send(message).await
    }

    /// As [`ExchangeSender::send_last`].
    ///
    /// # Errors
    ///
    /// As [`ExchangeSender::send`].
    pub async fn send_last(&mut self, message: &Message) -> Result<()> {
        self.sender.send_last(message).await
    }

    /// Sends one message, ends this side of the exchange and waits until the peer ends its side.
    ///
    /// Dropping an exchange whose peer side is still open resets the stream, and the reset can
    /// overtake the message.
    ///
    /// # Errors
    ///
    /// As [`Exchange::send`].
    pub async fn finish(mut self, message: &Message) -> Result<()> {
        self.send_last(message).await?;
        // The peer ends its side normally or with a reset; either way it has read the message.
        while let Ok(Some(_)) = self.recv().await {}
        Ok(())
    }

    /// As [`ExchangeReceiver::recv`]. Cancel safe.
    ///
    /// # Errors
    ///
    /// As [`ExchangeReceiver::recv`].
    pub async fn recv(&mut self) -> Result<Option<Message>> {
        self.receiver.recv().await
    }

    /// Removes the next message if it has been received completely.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a valid message.
    pub(crate) fn next_buffered(&mut self) -> Result<Option<Message>> {
        self.receiver.next_buffered()
    }

    // Receives some bytes; returns whether the peer has not ended its side. Cancel safe.
    pub(crate) async fn recv_piece(&mut self) -> Result<bool> {
        self.receiver.recv_piece().await
    }

    /// Limits the messages that are received to so many bytes: those of strangers are small.
    pub(crate) fn limit_messages(&mut self, bytes: usize) {
        self.receiver.frames.set_max_bytes(bytes);
    }

    /// Number of bytes received of a message that is not complete yet.
    pub fn partial_bytes(&self) -> usize {
        self.receiver.frames.len()
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
