//! Dispatches each exchange that a peer opens to the component that serves it.

use log::debug;
use rwd_control::Control;
use rwd_entry::Api;
use rwd_peer::{Directory, Exchange, Handler, Membership};
use rwd_sched::Scheduler;
use rwd_types::InstanceName;
use rwd_wire::Message;
use std::sync::Arc;

pub(crate) struct PeerHandler {
    pub directory: Arc<Directory>,
    pub membership: Arc<Membership>,
    pub control: Arc<Control>,
    pub scheduler: Arc<Scheduler>,
    pub api: Api,
}

impl Handler for PeerHandler {
    async fn handle(&self, from: InstanceName, first: Message, mut ex: Exchange) {
        let is_own = |incarnation| self.directory.is_own_incarnation(incarnation);
        let witness = self.api.home().witness();
        let result = match first {
            Message::Ping(_) | Message::PingFor { .. } => {
                self.membership.serve_probe(&first, ex).await
            }
            Message::Pull { have } => self.control.serve_pull(have, ex).await,
            Message::Offer(offer) => self.scheduler.serve_offer(*offer, ex).await,
            Message::Adopt(adopted) => self.scheduler.serve_adopted(*adopted, ex).await,
            Message::Record(key) if key.prefix.home == from => {
                let verdict = witness.record(&key, is_own);
                ex.send_last(&Message::Witnessed(verdict)).await
            }
            Message::Close(key) => {
                let verdict = witness.close(&key, is_own);
                ex.send_last(&Message::Witnessed(verdict)).await
            }
            Message::Forward(head) => self.api.serve_forwarded(*head, ex).await,
            _ => Err(rwd_peer::Error::Unexpected),
        };
        if let Err(e) = result {
            debug!(peer:% = from, error:% = e; "exchange failed");
        }
    }
}
