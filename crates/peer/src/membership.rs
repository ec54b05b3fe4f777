//! Failure detector: probes other nodes directly and through proxies.

use log::info;
use rand::seq::SliceRandom;
use rwd_timer::Timer;
use rwd_types::InstanceName;
use rwd_wire::Message;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

use crate::{Directory, Exchange, Links, Result};

/// Number of nodes that are asked to probe a node that does not reply (SWIM's ping-req).
const INDIRECT_PROBES: usize = 2;

/// Timing of the membership protocol.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// Period of the probes that a node sends.
    pub heartbeat: Duration,
    /// Timeout of a direct probe.
    pub probe_timeout: Duration,
    /// How long a suspected node may take to refute.
    pub suspicion: Duration,
}

/// Failure detector of one node.
pub struct Membership {
    cfg: MembershipSettings,
    directory: Arc<Directory>,
    links: Arc<Links>,
}

impl Membership {
    /// A failure detector that probes over `links`; it starts with [`Membership::run`].
    pub fn new(cfg: MembershipSettings, directory: Arc<Directory>, links: Arc<Links>) -> Self {
        Self {
            cfg,
            directory,
            links,
        }
    }

    /// Probes one node per period until the task is dropped.
    pub async fn run(self: Arc<Self>, timer: &Timer) {
        let mut ticks = timer.every(self.cfg.heartbeat);
        let mut order: VecDeque<InstanceName> = VecDeque::new();
        let mut probes = JoinSet::new();
        loop {
            ticks.tick().await;
            self.directory.expire(self.cfg.suspicion);
            if order.is_empty() {
                let mut names = self.directory.probe_candidates();
                names.shuffle(&mut rand::rng());
                order.extend(names);
            }
            if let Some(name) = order.pop_front() {
                let membership = self.clone();
                probes.spawn(async move { membership.probe(&name).await });
            }
            while probes.try_join_next().is_some() {}
        }
    }

    /// Probes one node now; suspects it if neither a direct nor an indirect probe succeeds.
    pub async fn probe(&self, name: &InstanceName) {
        let ping = Message::Ping(self.directory.gossip());
        match self.links.ask(name, &ping, self.cfg.probe_timeout).await {
            Ok(Message::Ack(gossip)) => self.directory.merge_gossip(&gossip),
            Err(e) if e.is_refused() => {
                info!(instance:% = name; "instance refused the connection");
                self.directory.failed(name);
            }
            _ if self.probe_indirectly(name).await => (),
            _ => {
                info!(instance:% = name; "instance did not reply to probes");
                self.directory.suspect(name);
            }
        }
    }

    async fn probe_indirectly(&self, name: &InstanceName) -> bool {
        let mut proxies = self.directory.probe_candidates();
        proxies.retain(|h| h != name);
        proxies.shuffle(&mut rand::rng());
        let mut pending = JoinSet::new();
        for proxy in proxies.into_iter().take(INDIRECT_PROBES) {
            let links = self.links.clone();
            let gossip = self.directory.gossip();
            let request = Message::PingFor {
                target: name.clone(),
                gossip,
            };
            let limit = 2 * self.cfg.probe_timeout;
            pending.spawn(async move { links.ask(&proxy, &request, limit).await });
        }
        while let Some(reply) = pending.join_next().await {
            if let Ok(Ok(Message::Ack(gossip))) = reply {
                self.directory.merge_gossip(&gossip);
                return true;
            }
        }
        false
    }

    /// Replies to a probe or to a request to probe a third node.
    ///
    /// # Errors
    ///
    /// Fails when the exchange breaks.
    pub async fn serve_probe(&self, request: &Message, mut ex: Exchange) -> Result<()> {
        match request {
            Message::Ping(gossip) => self.directory.merge_gossip(gossip),
            Message::PingFor { target, gossip } => {
                self.directory.merge_gossip(gossip);
                let ping = Message::Ping(self.directory.gossip());
                let reply = self
                    .links
                    .ask(target, &ping, self.cfg.probe_timeout)
                    .await?;
                return ex.send_last(&reply).await;
            }
            _ => return Ok(()),
        }
        ex.send_last(&Message::Ack(self.directory.gossip())).await
    }
}
