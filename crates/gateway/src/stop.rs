//! Timeline of a graceful shutdown, and what it means for requests.

use rwd_placement::Timestamp;
use std::time::Duration;

/// How long after the signal requests are still accepted from callers with a cached address. What
/// arrives in these 3 s may still run when the process has to exit; later requests may not.
const LATE_REQUEST_WINDOW: Duration = Duration::from_secs(3);
/// How long a leaving node keeps responding, to move callers to other nodes: they cache lookup
/// responses for up to three lifetimes.
const LINGER: Duration = Duration::from_secs(6);
/// Time reserved for closing connections.
const CLOSE_MARGIN: Duration = Duration::from_millis(900);

/// Points in time of a shutdown, counted from the signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShutdownPlan {
    /// Interval between two checks of the progress.
    pub poll: Duration,
    /// When new requests start to be refused.
    pub refuse_from: Duration,
    /// When the process may exit if nothing is in progress.
    pub linger: Duration,
    /// When connections are closed even if requests are in progress.
    pub close: Duration,
    /// When requests that have no response yet get one from the node.
    pub give_up: Duration,
    /// When the process exits.
    pub end: Duration,
}

impl ShutdownPlan {
    /// The timeline of a shutdown for which the platform allows `grace`.
    pub fn new(grace: Duration) -> Self {
        let poll = Duration::from_millis(100);
        let close = grace.saturating_sub(CLOSE_MARGIN);
        Self {
            poll,
            // Earlier by some polls, so that the bound holds for a request just before a check.
            refuse_from: LATE_REQUEST_WINDOW.min(close / 2).saturating_sub(3 * poll),
            linger: LINGER.min(close),
            close,
            give_up: close + CLOSE_MARGIN / 4,
            end: close + CLOSE_MARGIN / 2,
        }
    }
}

/// Which requests a node still serves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Admission {
    /// All.
    Open,
    /// Those that targets have, and those accepted before whose deadlines are not after `close`: no
    /// other one is sure to get its response.
    Closing { close: Timestamp },
    /// None; those without a response get one from the node.
    Over,
}

impl Admission {
    /// Whether a request with this deadline must not be sent to a target any more.
    pub fn is_too_late(self, deadline: Timestamp) -> bool {
        match self {
            Self::Open => false,
            Self::Closing { close } => deadline > close,
            Self::Over => true,
        }
    }
}
