//! The order in which a node probes the others.

use rand::Rng;
use rand::seq::SliceRandom;
use rwd_types::InstanceName;
use std::collections::VecDeque;

use crate::Directory;

/// One of this many probes goes to a failed node, so that the sides of a partition find each other
/// again.
const FAILED_PROBE_INTERVAL: u32 = 4;

/// Rounds in random order over the nodes that are up, and over those that are failed.
#[derive(Debug, Default)]
pub struct ProbeOrder {
    up: VecDeque<InstanceName>,
    failed: VecDeque<InstanceName>,
    count: u32,
}

impl ProbeOrder {
    /// The node to probe now; `None` if no other node is known.
    pub fn next(
        &mut self,
        directory: &Directory,
        rng: &mut (impl Rng + ?Sized),
    ) -> Option<InstanceName> {
        self.count = self.count.wrapping_add(1);
        match self.count % FAILED_PROBE_INTERVAL {
            0 => self.next_failed(directory, rng),
            _ => self.next_up(directory, rng),
        }
        .or_else(|| self.next_up(directory, rng))
        .or_else(|| self.next_failed(directory, rng))
    }

    /// The next node that is not known to be failed, for a probe beside the periodic ones.
    pub fn next_up(
        &mut self,
        directory: &Directory,
        rng: &mut (impl Rng + ?Sized),
    ) -> Option<InstanceName> {
        next(&mut self.up, directory, false, rng)
    }

    fn next_failed(
        &mut self,
        directory: &Directory,
        rng: &mut (impl Rng + ?Sized),
    ) -> Option<InstanceName> {
        next(&mut self.failed, directory, true, rng)
    }
}

fn next(
    queue: &mut VecDeque<InstanceName>,
    directory: &Directory,
    failed: bool,
    rng: &mut (impl Rng + ?Sized),
) -> Option<InstanceName> {
    let matches = |name: &InstanceName| directory.is_failed(name) == failed;
    while let Some(name) = queue.pop_front() {
        if matches(&name) {
            return Some(name);
        }
    }
    let mut names = directory.probe_candidates();
    names.retain(matches);
    names.shuffle(rng);
    queue.extend(names);
    queue.pop_front()
}
