//! Metrics of a process. They are aggregated in a table for the admin address, and also sent as
//! statsd datagrams if a statsd address is set.
//!
//! Code that records a metric only puts a small message into a bounded queue; one thread owns the
//! table and the socket. If the queue is full, the message is dropped and counted, so that metrics
//! never block a request.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

use cadence::{BufferedUdpMetricSink, MetricBuilder, NopMetricSink, StatsdClient};
use cadence::{Counted, Gauged, Histogrammed};
use quick_error::quick_error;
use tokio::sync::oneshot;
use types::{Class, CustomerName};

use crate::table::{Row, Series, Table};

/// Default length of the queue to the metrics thread. The memory of the queue, about 5 MB, is
/// allocated at the start.
const DEFAULT_QUEUED_MAX: usize = 65_536;

/// Counter of the messages that were dropped because the queue was full.
const DROPPED_COUNTER: &str = "metrics_dropped_total";

quick_error! {
    /// Reason why the metrics could not be started.
    #[derive(Debug)]
    pub enum MetricsError {
        /// The socket or the thread could not be created.
        Start(reason: std::io::Error) {
            source(reason)
            display("cannot start the metrics thread or its socket: {}", reason)
        }
        /// The statsd client could not be created for the address.
        Sink(reason: cadence::MetricError) {
            source(reason)
            display("cannot create the statsd client for metrics: {}", reason)
        }
    }
}

/// Settings of the metrics.
#[derive(Clone, Debug)]
pub struct MetricsSettings {
    /// Address of the statsd listener; with `None` the metrics are only available at the admin
    /// address.
    pub statsd: Option<SocketAddr>,
    /// Prefix of the names of all metrics sent to statsd, such as `hornbeamrock.entry`.
    pub prefix: String,
    /// Maximum number of messages in the queue to the metrics thread; further messages are dropped
    /// and counted.
    pub queued_max: usize,
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self {
            statsd: None,
            prefix: String::new(),
            queued_max: DEFAULT_QUEUED_MAX,
        }
    }
}

/// Labels of a metric besides its name.
#[derive(Clone, Copy, Debug, Default)]
pub struct Label<'a> {
    /// Customer, or `None` if the metric does not belong to a customer.
    pub customer: Option<&'a CustomerName>,
    /// Request class, or `None` if the metric does not belong to a class.
    pub class: Option<Class>,
    /// Name and value of a further label, or `None`. Its values must be few, such as the routes of
    /// the configuration.
    pub tag: Option<(&'static str, &'a str)>,
}

impl<'a> Label<'a> {
    /// Creates the labels of a metric that belongs to a customer and a class.
    pub fn of(customer: &'a CustomerName, class: Class) -> Self {
        Self {
            customer: Some(customer),
            class: Some(class),
            tag: None,
        }
    }
}

enum Message {
    Count(Series, u64),
    Gauge(Series, u64),
    Record(Series, u64),
    Rows(oneshot::Sender<Vec<Row>>),
}

/// Handle to the metrics of the process; clones share one table.
#[derive(Clone)]
pub struct Metrics {
    queue: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl Metrics {
    /// Starts the metrics thread. Returns an error if the thread or its socket cannot be created.
    pub fn start(settings: &MetricsSettings) -> Result<Metrics, MetricsError> {
        let client = statsd_client(settings)?;
        let (queue, messages) = sync_channel(settings.queued_max);
        let dropped = Arc::new(AtomicU64::new(0));
        let thread_dropped = Arc::clone(&dropped);
        thread::Builder::new()
            .name("metrics".to_owned())
            .spawn(move || process_messages(&messages, &client, &thread_dropped))
            .map_err(MetricsError::Start)?;
        Ok(Metrics { queue, dropped })
    }

    /// Increases a counter by `by`.
    pub fn count(&self, name: &'static str, label: Label<'_>, by: u64) {
        self.send(Message::Count(series(name, label), by));
    }

    /// Sets a gauge, such as the length of a queue.
    pub fn set_gauge(&self, name: &'static str, label: Label<'_>, value: u64) {
        self.send(Message::Gauge(series(name, label), value));
    }

    /// Records a value in a histogram. The suffix of `name` states the unit, such as `_ms`.
    pub fn record(&self, name: &'static str, label: Label<'_>, value: u64) {
        self.send(Message::Record(series(name, label), value));
    }

    /// Returns the current values of all series, sorted by name, customer and class. Empty if the
    /// request is dropped because the queue is full, or if the metrics thread has ended.
    pub async fn rows(&self) -> Vec<Row> {
        let (reply, rows) = oneshot::channel();
        self.send(Message::Rows(reply));
        rows.await.unwrap_or_default()
    }

    fn send(&self, message: Message) {
        if self.queue.try_send(message).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn series(name: &'static str, label: Label<'_>) -> Series {
    Series {
        name,
        customer: label
            .customer
            .map_or_else(String::new, |customer| customer.as_str().to_owned()),
        class: label.class.map_or("", Class::as_str),
        tag: label.tag.map(|(name, value)| (name, value.to_owned())),
    }
}

fn statsd_client(settings: &MetricsSettings) -> Result<StatsdClient, MetricsError> {
    let Some(address) = settings.statsd else {
        return Ok(StatsdClient::from_sink(&settings.prefix, NopMetricSink));
    };
    let any_port = SocketAddr::new(address.ip(), 0);
    let local = if address.ip().is_loopback() {
        any_port
    } else {
        unspecified_address(address)
    };
    let socket = UdpSocket::bind(local).map_err(MetricsError::Start)?;
    let sink = BufferedUdpMetricSink::from(address, socket).map_err(MetricsError::Sink)?;
    Ok(StatsdClient::from_sink(&settings.prefix, sink))
}

fn unspecified_address(address: SocketAddr) -> SocketAddr {
    let any: std::net::IpAddr = if address.is_ipv4() {
        std::net::Ipv4Addr::UNSPECIFIED.into()
    } else {
        std::net::Ipv6Addr::UNSPECIFIED.into()
    };
    SocketAddr::new(any, 0)
}

fn process_messages(messages: &Receiver<Message>, client: &StatsdClient, dropped: &AtomicU64) {
    let mut table = Table::default();
    while let Ok(message) = messages.recv() {
        match message {
            Message::Count(series, by) => {
                with_tags(client.count_with_tags(series.name, by), &series).send();
                table.count(series, by);
            }
            Message::Gauge(series, value) => {
                with_tags(client.gauge_with_tags(series.name, value), &series).send();
                table.set_gauge(series, value);
            }
            Message::Record(series, value) => {
                with_tags(client.histogram_with_tags(series.name, value), &series).send();
                table.record(series, value);
            }
            Message::Rows(reply) => {
                let dropped_messages = dropped.swap(0, Ordering::Relaxed);
                table.count(series(DROPPED_COUNTER, Label::default()), dropped_messages);
                // The receiver may have been dropped; then the rows are not needed.
                let _ = reply.send(table.rows());
            }
        }
    }
}

fn with_tags<'m, 'c, T>(
    mut metric: MetricBuilder<'m, 'c, T>,
    series: &'m Series,
) -> MetricBuilder<'m, 'c, T>
where
    T: cadence::Metric + From<String>,
{
    if !series.customer.is_empty() {
        metric = metric.with_tag("customer", &series.customer);
    }
    if !series.class.is_empty() {
        metric = metric.with_tag("class", series.class);
    }
    if let Some((name, value)) = &series.tag {
        metric = metric.with_tag(name, value);
    }
    metric
}
