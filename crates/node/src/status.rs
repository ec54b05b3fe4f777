//! Status of a node, as shown to operators.

use rwd_entry::Load;
use rwd_sched::ShardStatus;
use rwd_types::{InstanceName, PresetName, Revision, ZoneName};
use serde::Serialize;

use crate::node::Shared;

/// A member of the node's membership view.
#[derive(Clone, Debug, Serialize)]
pub struct MemberStatus {
    /// Its name.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Resource usage of a node.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ResourceUsage {
    /// Bytes to and from peers since the start.
    pub peer_bytes: u64,
    /// Offers received since the start.
    pub offers: u64,
    /// Known members.
    pub members: usize,
    /// Known queue digests.
    pub digests: usize,
}

/// The status of one node.
#[derive(Clone, Debug, Serialize)]
pub struct NodeStatus {
    /// The node.
    pub instance: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The active revision of the configuration.
    pub revision: Revision,
    /// The active preset.
    pub preset: PresetName,
    /// Whether it is leaving.
    pub leaving: bool,
    /// The nodes that it considers alive, including itself.
    pub members: Vec<MemberStatus>,
    /// Its load as a home node and as a witness.
    pub load: Load,
    /// The shards it owns.
    pub shards: Vec<ShardStatus>,
    /// Draining targets, which get no new work.
    pub leaving_targets: Vec<String>,
    /// Its resource usage.
    pub usage: ResourceUsage,
}

impl Shared {
    pub(crate) fn status(&self) -> NodeStatus {
        let active = self.control.in_force();
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
            revision: active.revision,
            preset: active.cfg.preset,
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
