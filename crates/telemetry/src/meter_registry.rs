//! Metrics of one process: OpenTelemetry instruments, rendered in the Prometheus text format.

use std::sync::Arc;

use opentelemetry::KeyValue;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;
use snafu::ResultExt;
use snafu::Snafu;

/// Error of setting up the metrics.
#[derive(Debug, Snafu)]
pub enum MeterError {
    /// The Prometheus exporter could not be created.
    #[snafu(display("cannot create the metrics exporter: {source}"))]
    Export {
        /// Underlying error.
        source: OTelSdkError,
    },
}

/// Instruments of one process. Clones share the same instruments.
#[derive(Clone)]
pub struct MeterRegistry {
    registry: Registry,
    provider: Arc<SdkMeterProvider>,
}

impl MeterRegistry {
    /// Creates a registry without instruments.
    ///
    /// # Errors
    /// [`MeterError`] if the exporter cannot be created.
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

    /// Meter for instruments that the caller updates itself.
    pub fn meter(&self) -> Meter {
        self.provider.meter("cuminbarrow")
    }

    /// Registers a gauge whose value is read at each scrape.
    pub fn register_gauge<F>(&self, name: &'static str, description: &'static str, read: F)
    where
        F: Fn() -> u64 + Send + Sync + 'static,
    {
        let meter = self.meter();
        let builder = meter.u64_observable_gauge(name).with_description(description);
        builder.with_callback(move |observer| observer.observe(read(), &[])).build();
    }

    /// Registers a counter whose value is read at each scrape.
    pub fn register_counter<F>(&self, name: &'static str, description: &'static str, read: F)
    where
        F: Fn() -> u64 + Send + Sync + 'static,
    {
        let meter = self.meter();
        let builder = meter.u64_observable_counter(name).with_description(description);
        builder.with_callback(move |observer| observer.observe(read(), &[])).build();
    }

    /// Registers a counter whose values are read at each scrape, each with its labels.
    pub fn register_labelled_counter<F>(
        &self,
        name: &'static str,
        description: &'static str,
        read: F,
    ) where
        F: Fn() -> Vec<(Vec<KeyValue>, u64)> + Send + Sync + 'static,
    {
        let meter = self.meter();
        let builder = meter.u64_observable_counter(name).with_description(description);
        let callback = builder.with_callback(move |observer| {
            read().iter().for_each(|(labels, value)| observer.observe(*value, labels));
        });
        callback.build();
    }

    /// Registers a counter by reason whose values are read at each scrape.
    pub fn register_reasons<F>(&self, name: &'static str, description: &'static str, read: F)
    where
        F: Fn() -> Vec<(&'static str, u64)> + Send + Sync + 'static,
    {
        self.register_labelled_counter(name, description, move || {
            let label = |reason| vec![KeyValue::new("reason", reason)];
            read().into_iter().map(|(reason, count)| (label(reason), count)).collect()
        });
    }

    /// Renders all metrics in the Prometheus text format. If encoding fails, the text up to the
    /// failure is returned.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("cannot encode the metrics: {error}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
