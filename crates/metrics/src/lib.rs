//! Counters and histograms of a node, by OpenTelemetry, for scraping.

use derive_more::{Display, Error, From};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Bounds of the histograms of times, in milliseconds.
const TIME_BOUNDS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 43.0, 100.0, 200.0, 500.0, 1000.0, 1300.0, 2000.0, 5000.0, 20000.0,
];

/// Metrics that cannot be set up or read.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The exporter cannot be built.
    #[display("cannot build the exporter: {_0}")]
    Exporter(opentelemetry_sdk::error::OTelSdkError),
    /// The text form cannot be made.
    #[display("cannot encode metrics: {_0}")]
    Encode(prometheus::Error),
}

/// The result of work with metrics.
pub type Result<T> = std::result::Result<T, Error>;

/// All instruments of one node.
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
    /// Streams resumed over a new connection.
    pub resumed: Counter<u64>,
    /// Calls passed on to the home of their key.
    pub forwarded: Counter<u64>,
    /// Changes of the revision in force.
    pub revisions: Counter<u64>,
    /// Time from acceptance to the first token, in milliseconds, by tier.
    pub first_token_ms: Histogram<f64>,
    /// Time from acceptance to the end of an answer, in milliseconds, by outcome.
    pub answer_ms: Histogram<f64>,
    /// Time that requests waited for a slot, in milliseconds.
    pub slot_wait_ms: Histogram<f64>,
    /// Sends to targets that failed, by kind.
    pub sends_failed: Counter<u64>,
    /// Reads of the store that failed, by feed.
    pub store_reads_failed: Counter<u64>,
}

impl Metrics {
    /// Sets up the instruments.
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
            first_token_ms: times(&meter, "first_token_ms"),
            answer_ms: times(&meter, "answer_ms"),
            slot_wait_ms: times(&meter, "slot_wait_ms"),
            sends_failed: counter(&meter, "sends_failed"),
            store_reads_failed: counter(&meter, "store_reads_failed"),
            _provider: provider,
        })
    }

    /// The metrics in the text form that scrapers read.
    ///
    /// # Errors
    ///
    /// [`Error::Encode`] if a metric cannot be written as text.
    pub fn text(&self) -> Result<String> {
        Ok(TextEncoder::new().encode_to_string(&self.registry.gather())?)
    }
}

fn counter(meter: &Meter, name: &'static str) -> Counter<u64> {
    meter.u64_counter(name).build()
}

fn times(meter: &Meter, name: &'static str) -> Histogram<f64> {
    let builder = meter.f64_histogram(name);
    builder.with_boundaries(TIME_BOUNDS_MS.to_vec()).build()
}

/// A label of a metric.
pub fn label(key: &'static str, value: impl ToString) -> KeyValue {
    KeyValue::new(key, value.to_string())
}
