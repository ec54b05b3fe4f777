//! Mutual challenge-response authentication with the shared secret, before any other message.

use rand::RngExt;
use rwd_types::{InstanceName, Secret};
use rwd_wire::{Hello, Message, NONCE_BYTES, VERSION};
use std::time::Duration;

use crate::{Error, Exchange, Result};

/// Largest message of a handshake, in bytes: some numbers and a name.
const MAX_MESSAGE_BYTES: usize = 1024;
/// Timeout of each step of the handshake.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);

type Nonce = [u8; NONCE_BYTES];

fn proof(secret: &Secret, role: &str, hello: &Hello, acceptor_nonce: &Nonce) -> [u8; 32] {
    secret.mac(&[
        role.as_bytes(),
        &hello.version.to_be_bytes(),
        hello.from.as_str().as_bytes(),
        &hello.nonce,
        acceptor_nonce,
    ])
}

/// Runs the connecting side.
pub(crate) async fn connect(ex: &mut Exchange, secret: &Secret, own: &InstanceName) -> Result<()> {
    let hello = Hello {
        version: VERSION,
        from: own.clone(),
        nonce: rand::rng().random(),
    };
    ex.send(&Message::Hello(hello.clone())).await?;
    let Message::Challenge {
        nonce,
        proof: peer_proof,
    } = ex.recv_within(STEP_TIMEOUT).await?
    else {
        return Err(Error::Unexpected);
    };
    if peer_proof != proof(secret, "accept", &hello, &nonce) {
        return Err(Error::Handshake);
    }
    let proof = proof(secret, "connect", &hello, &nonce);
    ex.send_last(&Message::Proof { proof }).await?;
    match ex.recv_within(STEP_TIMEOUT).await? {
        Message::Welcome => Ok(()),
        _ => Err(Error::Unexpected),
    }
}

/// Runs the accepting side; returns the name of the peer.
pub(crate) async fn accept(ex: &mut Exchange, secret: &Secret) -> Result<InstanceName> {
    ex.limit_messages(MAX_MESSAGE_BYTES);
    let hello = match ex.recv_within(STEP_TIMEOUT).await? {
        Message::Hello(hello) if hello.version == VERSION => hello,
        _ => return Err(Error::Handshake),
    };
    let nonce: Nonce = rand::rng().random();
    let own = proof(secret, "accept", &hello, &nonce);
    ex.send(&Message::Challenge { nonce, proof: own }).await?;
    match ex.recv_within(STEP_TIMEOUT).await? {
        Message::Proof { proof: peer_proof }
            if peer_proof == proof(secret, "connect", &hello, &nonce) =>
        {
            ex.send_last(&Message::Welcome).await?;
            Ok(hello.from)
        }
        _ => Err(Error::Handshake),
    }
}
