//! Identifies requests that ask for the same: repeats have ids of their own.

use http::request;
use rwd_placement::{Fingerprint, StreamKey};
use rwd_types::{PoolName, Secret, WorkspaceName};
use xxhash_rust::xxh3::Xxh3;

/// Fingerprints requests, in the same way at all nodes that share a secret.
pub(crate) struct Fingerprinter {
    // Keeps callers from making a request with the fingerprint of another workspace's request.
    seed: u64,
}

impl Fingerprinter {
    pub fn new(secret: &Secret) -> Self {
        let mac = secret.mac(&[b"fingerprint"]);
        let seed = mac.iter().take(8);
        let seed = seed.fold(0, |seed, byte| seed << 8 | u64::from(*byte));
        Self { seed }
    }

    /// The fingerprint of a request: what a target gets of it, but for the headers.
    pub fn of(
        &self,
        parts: &request::Parts,
        workspace: Option<&WorkspaceName>,
        body: &[u8],
    ) -> Fingerprint {
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
        Fingerprint(self.hash(&[
            parts.method.as_str().as_bytes(),
            path.as_bytes(),
            workspace.map_or(&[], |w| w.as_str().as_bytes()),
            body,
        ]))
    }

    /// The key of the stream that began with the attempt of this id.
    pub fn stream(
        &self,
        pool: &PoolName,
        workspace: Option<&WorkspaceName>,
        attempt: &str,
    ) -> StreamKey {
        StreamKey(self.hash(&[
            b"stream",
            pool.as_str().as_bytes(),
            workspace.map_or(&[], |w| w.as_str().as_bytes()),
            attempt.as_bytes(),
        ]))
    }

    fn hash(&self, fields: &[&[u8]]) -> u64 {
        let mut hasher = Xxh3::with_seed(self.seed);
        for field in fields {
            hasher.update(&(field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        hasher.digest()
    }
}
