//! Finds out which nodes answer.

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

/// How many other nodes are asked to probe a node that does not answer.
const HELPERS: usize = 2;

/// Times of the membership protocol.
#[derive(Clone, Copy, Debug)]
pub struct MembershipSettings {
    /// Time between two probes that a node starts.
    pub heartbeat: Duration,
    /// How long a probe may take.
    pub probe_timeout: Duration,
    /// How long a suspected node may take to refute.
    pub suspicion: Duration,
}

/// Runs the probes of one node.
pub struct Membership {
    cfg: MembershipSettings,
    directory: Arc<Directory>,
    links: Arc<Links>,
}

impl Membership {
    /// Prepares membership over the given links.
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

    /// Probes one node now, and suspects it if neither it nor a helper answers.
    pub async fn probe(&self, name: &InstanceName) {
        let ping = Message::Ping(self.directory.gossip());
        match self.links.ask(name, &ping, self.cfg.probe_timeout).await {
            Ok(Message::Ack(gossip)) => self.directory.merge_gossip(&gossip),
            Err(e) if e.is_refused() => {
                info!(instance:% = name; "nothing listens at the instance");
                self.directory.failed(name);
            }
            _ if self.probe_through_helpers(name).await => (),
            _ => {
                info!(instance:% = name; "instance does not answer");
                self.directory.suspect(name);
            }
        }
    }

    async fn probe_through_helpers(&self, name: &InstanceName) -> bool {
        let mut helpers = self.directory.probe_candidates();
        helpers.retain(|h| h != name);
        helpers.shuffle(&mut rand::rng());
        let mut asked = JoinSet::new();
        for helper in helpers.into_iter().take(HELPERS) {
            let links = self.links.clone();
            let gossip = self.directory.gossip();
            let question = Message::PingFor {
                target: name.clone(),
                gossip,
            };
            let limit = 2 * self.cfg.probe_timeout;
            asked.spawn(async move { links.ask(&helper, &question, limit).await });
        }
        while let Some(answer) = asked.join_next().await {
            if let Ok(Ok(Message::Ack(gossip))) = answer {
                self.directory.merge_gossip(&gossip);
                return true;
            }
        }
        false
    }

    /// Answers a probe, or a request to probe a third node.
    ///
    /// # Errors
    ///
    /// Fails when the exchange breaks.
    pub async fn serve_probe(&self, question: &Message, mut ex: Exchange) -> Result<()> {
        match question {
            Message::Ping(gossip) => self.directory.merge_gossip(gossip),
            Message::PingFor { target, gossip } => {
                self.directory.merge_gossip(gossip);
                let ping = Message::Ping(self.directory.gossip());
                let answer = self
                    .links
                    .ask(target, &ping, self.cfg.probe_timeout)
                    .await?;
                return ex.send_last(&answer).await;
            }
            _ => return Ok(()),
        }
        ex.send_last(&Message::Ack(self.directory.gossip())).await
    }
}
