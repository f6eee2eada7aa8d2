//! Metrics of one process: an OpenTelemetry meter, rendered as text when scraped.

use std::sync::Arc;

use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use snafu::ResultExt;
use snafu::Snafu;

/// Why metrics can't be had.
#[derive(Debug, Snafu)]
pub enum MeterError {
    /// The exporter could not be made.
    #[snafu(display("the metrics exporter can't be made: {source}"))]
    Export {
        /// Cause.
        source: OTelSdkError,
    },
}

/// Metrics of one process.
#[derive(Clone)]
pub struct MeterRegistry {
    registry: Registry,
    provider: Arc<SdkMeterProvider>,
}

impl MeterRegistry {
    /// An empty registry.
    ///
    /// # Errors
    /// [`MeterError`] when the exporter can't be made.
    pub fn new() -> Result<Self, MeterError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .context(ExportSnafu)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider: Arc::new(provider) })
    }

    /// The meter to make instruments with.
    pub fn meter(&self) -> Meter {
        self.provider.meter("cuminbarrow")
    }

    /// A gauge whose value is read when scraped.
    pub fn register_gauge<F>(&self, name: &'static str, description: &'static str, read: F)
    where
        F: Fn() -> u64 + Send + Sync + 'static,
    {
        let meter = self.meter();
        let builder = meter.u64_observable_gauge(name).with_description(description);
        builder.with_callback(move |observer| observer.observe(read(), &[])).build();
    }

    /// A counter whose value is read when scraped.
    pub fn register_counter<F>(&self, name: &'static str, description: &'static str, read: F)
    where
        F: Fn() -> u64 + Send + Sync + 'static,
    {
        let meter = self.meter();
        let builder = meter.u64_observable_counter(name).with_description(description);
        builder.with_callback(move |observer| observer.observe(read(), &[])).build();
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("metrics can't be rendered: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
