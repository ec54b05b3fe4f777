//! What operators see of a node.

use rwd_entry::Load;
use rwd_sched::ShardStatus;
use rwd_types::{InstanceName, PresetName, Revision, ZoneName};
use serde::Serialize;

use crate::node::Shared;

/// Another node, as this node sees it.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is on its way out.
    pub leaving: bool,
}

/// What the node has used.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ResourceUsage {
    /// Bytes to and from peers since the start.
    pub peer_bytes: u64,
    /// Offers received since the start.
    pub offers: u64,
    /// Members known.
    pub members: usize,
    /// Queue digests known.
    pub digests: usize,
}

/// The status of one node.
#[derive(Clone, Debug, Serialize)]
pub struct NodeStatus {
    /// The node.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The revision in force.
    pub revision: Revision,
    /// The preset in force.
    pub preset: PresetName,
    /// Whether it is on its way out.
    pub leaving: bool,
    /// The nodes it believes to be alive, itself among them.
    pub members: Vec<MemberStatus>,
    /// Requests it holds.
    pub load: Load,
    /// The shards it owns.
    pub shards: Vec<ShardStatus>,
    /// Targets that get no new work.
    pub leaving_targets: Vec<String>,
    /// What it has used.
    pub usage: ResourceUsage,
}

impl Shared {
    pub(crate) fn status(&self) -> NodeStatus {
        let in_force = self.control.in_force();
        let view = self.directory.view();
        let members = view.members.values().map(|m| MemberStatus {
            name: m.name.clone(),
            zone: m.zone.clone(),
            leaving: m.leaving,
        });
        let (member_count, digest_count) = self.directory.sizes();
        let leaving_targets = self
            .topology
            .borrow()
            .leaving
            .iter()
            .map(ToString::to_string)
            .collect();
        NodeStatus {
            instance: self.cfg.instance.clone(),
            zone: self.cfg.zone.clone(),
            revision: in_force.revision,
            preset: in_force.cfg.preset,
            leaving: *self.leaving.borrow(),
            members: members.collect(),
            load: self.home.load(),
            shards: self.scheduler.status(),
            leaving_targets,
            usage: ResourceUsage {
                peer_bytes: self.peer_bytes.get(),
                offers: self.scheduler.offers_received(),
                members: member_count,
                digests: digest_count,
            },
        }
    }
}
