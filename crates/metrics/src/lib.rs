//! OpenTelemetry counters and histograms of a node, exported for Prometheus scrapers.

use derive_more::{Display, Error, From};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Bucket bounds of latency histograms, in milliseconds.
const LATENCY_BUCKETS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 43.0, 100.0, 200.0, 500.0, 1000.0, 1300.0, 2000.0, 5000.0, 20000.0,
];

/// Error of setting up or exporting metrics.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The exporter cannot be built.
    #[display("cannot build the exporter: {_0}")]
    Exporter(opentelemetry_sdk::error::OTelSdkError),
    /// The metrics cannot be encoded as text.
    #[display("cannot encode metrics: {_0}")]
    Encode(prometheus::Error),
}

/// Result of a metrics operation.
pub type Result<T> = std::result::Result<T, Error>;

/// The instruments of one node.
pub struct Metrics {
    registry: Registry,
    // Dropping the provider would stop the export.
    _provider: SdkMeterProvider,
    /// Requests accepted from callers, by tier.
    pub accepted: Counter<u64>,
    /// Requests that ended, by tier and outcome.
    pub ended: Counter<u64>,
    /// Slots granted by the node's schedulers, by pool.
    pub granted: Counter<u64>,
    /// Offers refused by the node's schedulers, by tier and kind.
    pub refused: Counter<u64>,
    /// Streams resumed on a new connection.
    pub resumed: Counter<u64>,
    /// Requests forwarded to the home node of their key.
    pub forwarded: Counter<u64>,
    /// Changes of the active revision.
    pub revisions: Counter<u64>,
    /// Time from acceptance to the first token, in milliseconds, by tier.
    pub first_token_ms: Histogram<f64>,
    /// Time from acceptance to the end of the response, in milliseconds, by outcome.
    pub answer_ms: Histogram<f64>,
    /// Time that requests waited for a slot, in milliseconds.
    pub slot_wait_ms: Histogram<f64>,
    /// Requests that went to targets of another zone, by reason.
    pub spilled: Counter<u64>,
    /// Age of the rooms that led requests to another zone, in milliseconds.
    pub room_age_ms: Histogram<f64>,
    /// Failed sends to targets, by kind.
    pub sends_failed: Counter<u64>,
    /// Responses that say that their request has not run, by what proves them to be its own.
    pub refused_by_targets: Counter<u64>,
    /// Requests that may run once and were sent again, by what proves that they had not run.
    pub second_sends: Counter<u64>,
    /// Changes of targets' request limits that responses brought, by kind.
    pub limits_changed: Counter<u64>,
    /// Responses that ended or interrupted the use of their targets, by reason.
    pub targets_withheld: Counter<u64>,
    /// Requests sent during roll-outs, by version (old or new).
    pub rollout_sends: Counter<u64>,
    /// Roll-outs that this node has ended, by state.
    pub rollouts_ended: Counter<u64>,
    /// Bytes held for slow callers and for responses that are not complete yet, by kind.
    pub held_bytes: Gauge<u64>,
    /// Callers whose connections were ended because of the bytes held for them.
    pub slow_readers_dropped: Counter<u64>,
    /// Failed reads of the store, by feed.
    pub store_reads_failed: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments and their exporter.
    ///
    /// # Errors
    ///
    /// [`Error::Exporter`] if the exporter cannot be built.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let builder = opentelemetry_prometheus::exporter().with_registry(registry.clone());
        let provider = SdkMeterProvider::builder()
            .with_reader(builder.build()?)
            .build();
        let meter = provider.meter("redwingdrift");
        Ok(Self {
            registry,
            accepted: counter(&meter, "requests_accepted"),
            ended: counter(&meter, "requests_ended"),
            granted: counter(&meter, "grants"),
            refused: counter(&meter, "offers_refused"),
            resumed: counter(&meter, "streams_resumed"),
            forwarded: counter(&meter, "calls_forwarded"),
            revisions: counter(&meter, "revisions_applied"),
            first_token_ms: latency(&meter, "first_token_ms"),
            answer_ms: latency(&meter, "answer_ms"),
            slot_wait_ms: latency(&meter, "slot_wait_ms"),
            spilled: counter(&meter, "requests_spilled"),
            room_age_ms: latency(&meter, "room_age_ms"),
            sends_failed: counter(&meter, "sends_failed"),
            refused_by_targets: counter(&meter, "refused_by_targets"),
            second_sends: counter(&meter, "second_sends"),
            limits_changed: counter(&meter, "limits_changed"),
            targets_withheld: counter(&meter, "targets_withheld"),
            rollout_sends: counter(&meter, "rollout_sends"),
            rollouts_ended: counter(&meter, "rollouts_ended"),
            held_bytes: meter.u64_gauge("held_bytes").build(),
            slow_readers_dropped: counter(&meter, "slow_readers_dropped"),
            store_reads_failed: counter(&meter, "store_reads_failed"),
            _provider: provider,
        })
    }

    /// Encodes the metrics in Prometheus's text format.
    ///
    /// # Errors
    ///
    /// [`Error::Encode`] if a metric cannot be encoded.
    pub fn text(&self) -> Result<String> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

fn counter(meter: &Meter, name: &'static str) -> Counter<u64> {
    meter.u64_counter(name).build()
}

fn latency(meter: &Meter, name: &'static str) -> Histogram<f64> {
    let builder = meter.f64_histogram(name);
    builder.with_boundaries(LATENCY_BUCKETS_MS.to_vec()).build()
}

/// Creates a metric label.
pub fn label(key: &'static str, value: impl ToString) -> KeyValue {
    KeyValue::new(key, value.to_string())
}
