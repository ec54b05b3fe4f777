//! Failure detector: probes other nodes directly and through proxies.

use log::{info, warn};
use rand::seq::SliceRandom;
use rwd_timer::Timer;
use rwd_types::InstanceName;
use rwd_wire::Message;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

use crate::{Detector, Directory, Error, Event, Exchange, Links, MassLoss, Result, Step};

/// Number of nodes that are asked to probe a node that does not reply (SWIM's ping-req).
pub const INDIRECT_PROBES: usize = 2;

/// Peers that a node probes at once when it refutes its failure: it may have roles that others have
/// taken over.
pub const REFUTATION_PROBES: usize = 8;

/// Shortest time between two probes that pass on changes of the view.
pub const NEWS_PERIOD: Duration = Duration::from_millis(40);

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
    mass_loss: Option<MassLoss>,
}

impl Membership {
    /// A failure detector that probes over `links`; it starts with [`Membership::run`].
    pub fn new(cfg: MembershipSettings, directory: Arc<Directory>, links: Arc<Links>) -> Self {
        Self {
            cfg,
            directory,
            links,
            mass_loss: None,
        }
    }

    /// Decides sooner while many nodes are silent at once.
    pub fn with_mass_loss(mut self, cfg: MassLoss) -> Self {
        self.mass_loss = Some(cfg);
        self
    }

    /// Probes one node per period until the task is dropped, and more while it finds failed ones.
    pub async fn run(self: Arc<Self>, timer: &Timer) {
        let mut ticks = timer.every(self.cfg.heartbeat);
        let mut detector = Detector::new(self.cfg, self.mass_loss);
        let mut tasks = JoinSet::new();
        let mut refutations = self.directory.watch_refutations();
        let mut view = self.directory.watch();
        loop {
            let event = tokio::select! {
                () = ticks.tick() => Event::Tick,
                Some(done) = tasks.join_next() => match done {
                    Ok(event) => event,
                    Err(e) => {
                        warn!(error:% = e; "a probe's task failed");
                        continue;
                    }
                },
                Ok(()) = view.changed() => {
                    // News spreads with probes; one more passes it on.
                    tokio::time::sleep(NEWS_PERIOD).await;
                    view.mark_unchanged();
                    Event::News
                }
                Ok(()) = refutations.changed() => {
                    info!("refuting this node's failure");
                    Event::Refuted
                }
            };
            for step in detector.on(event, &self.directory, &mut rand::rng()) {
                if let (Step::Probe(name), Some(cfg)) = (&step, self.mass_loss) {
                    let name = name.clone();
                    tasks.spawn(async move {
                        tokio::time::sleep(cfg.late_after).await;
                        Event::Late(name)
                    });
                }
                let membership = self.clone();
                tasks.spawn(async move { membership.take(step).await });
            }
        }
    }

    async fn take(&self, step: Step) -> Event {
        match step {
            Step::Probe(name) => match self.ping(&name).await {
                Ok(()) => Event::Replied(name),
                Err(e) if e.is_refused() => Event::Refused(name),
                Err(_) => Event::Missed(name),
            },
            Step::Confirm(name) => match self.probe_indirectly(&name).await {
                true => Event::Replied(name),
                false => Event::Unconfirmed(name),
            },
            Step::ProbeAgain(name) => {
                let replied = tokio::select! {
                    result = self.ping(&name) => result,
                    true = self.probe_indirectly(&name) => Ok(()),
                };
                match replied {
                    Ok(()) => Event::Replied(name),
                    Err(e) if e.is_refused() => Event::Refused(name),
                    Err(_) => Event::StillSilent(name),
                }
            }
        }
    }

    async fn ping(&self, name: &InstanceName) -> Result<()> {
        let ping = Message::Ping(self.directory.gossip_to(name));
        match self.links.ask(name, &ping, self.cfg.probe_timeout).await? {
            Message::Ack(gossip) => {
                self.directory.merge_gossip(&gossip);
                Ok(())
            }
            _ => Err(Error::Unexpected),
        }
    }

    /// Probes one node now; suspects it if neither a direct nor an indirect probe succeeds. Returns
    /// whether the node is newly found to be failed or suspect.
    pub async fn probe(&self, name: &InstanceName) -> bool {
        match self.ping(name).await {
            Ok(()) => false,
            Err(e) if e.is_refused() => {
                info!(instance:% = name; "instance refused the connection");
                self.directory.failed(name)
            }
            _ if self.probe_indirectly(name).await => false,
            _ => {
                info!(instance:% = name; "instance did not reply to probes");
                self.directory.suspect(name)
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
            let gossip = self.directory.gossip_to(&proxy);
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
        let from = match request {
            Message::Ping(gossip) => {
                self.directory.merge_gossip(gossip);
                &gossip.own.name
            }
            Message::PingFor { target, gossip } => {
                self.directory.merge_gossip(gossip);
                let ping = Message::Ping(self.directory.gossip_to(target));
                let reply = self
                    .links
                    .ask(target, &ping, self.cfg.probe_timeout)
                    .await?;
                return ex.send_last(&reply).await;
            }
            _ => return Ok(()),
        };
        ex.send_last(&Message::Ack(self.directory.gossip_to(from)))
            .await
    }
}
