//! Both sides prove that they know the shared secret before anything else is said.

use rand::RngExt;
use rwd_types::{InstanceName, Secret};
use rwd_wire::{Hello, Message, NONCE_BYTES, VERSION};
use std::time::Duration;

use crate::{Error, Exchange, Result};

/// How long each step of the handshake may take.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);

type Nonce = [u8; NONCE_BYTES];

fn proof(secret: &Secret, role: &str, hello: &Hello, theirs: &Nonce) -> [u8; 32] {
    secret.mac(&[
        role.as_bytes(),
        &hello.version.to_be_bytes(),
        hello.from.as_str().as_bytes(),
        &hello.nonce,
        theirs,
    ])
}

/// The connecting side.
pub(crate) async fn connect(ex: &mut Exchange, secret: &Secret, own: &InstanceName) -> Result<()> {
    let hello = Hello {
        version: VERSION,
        from: own.clone(),
        nonce: rand::rng().random(),
    };
    ex.send(&Message::Hello(hello.clone())).await?;
    let Message::Challenge {
        nonce,
        proof: theirs,
    } = ex.recv_within(STEP_TIMEOUT).await?
    else {
        return Err(Error::Unexpected);
    };
    if theirs != proof(secret, "accept", &hello, &nonce) {
        return Err(Error::Handshake);
    }
    let proof = proof(secret, "connect", &hello, &nonce);
    ex.send_last(&Message::Proof { proof }).await?;
    match ex.recv_within(STEP_TIMEOUT).await? {
        Message::Welcome => Ok(()),
        _ => Err(Error::Unexpected),
    }
}

/// The accepting side; returns the name of the peer.
pub(crate) async fn accept(ex: &mut Exchange, secret: &Secret) -> Result<InstanceName> {
    let hello = match ex.recv_within(STEP_TIMEOUT).await? {
        Message::Hello(hello) if hello.version == VERSION => hello,
        _ => return Err(Error::Handshake),
    };
    let nonce: Nonce = rand::rng().random();
    let own = proof(secret, "accept", &hello, &nonce);
    ex.send(&Message::Challenge { nonce, proof: own }).await?;
    match ex.recv_within(STEP_TIMEOUT).await? {
        Message::Proof { proof: theirs } if theirs == proof(secret, "connect", &hello, &nonce) => {
            ex.send_last(&Message::Welcome).await?;
            Ok(hello.from)
        }
        _ => Err(Error::Handshake),
    }
}
