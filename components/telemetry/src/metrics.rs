//! Metrics of a process: sent as statsd datagrams where an address is set, and kept as
//! histograms for the admin address in any case.
//!
//! A request only puts a small message into a bounded queue; one thread owns the table
//! and the socket. A full queue drops the message and counts it, so that metrics never
//! hold up a request.

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

/// Messages that wait for the owning thread at most, where nothing else is set. The queue's
/// memory is taken at the start: some 5 MB.
const QUEUED_MAX: usize = 65_536;

/// Name of the counter of messages that found the queue full.
const DROPPED: &str = "metrics_dropped_total";

quick_error! {
    /// Why metrics can't be set up.
    #[derive(Debug)]
    pub enum MetricsError {
        /// No socket or thread for them.
        Start(reason: std::io::Error) {
            source(reason)
            display("metrics cannot be started: {}", reason)
        }
        /// The address does not take datagrams.
        Sink(reason: cadence::MetricError) {
            source(reason)
            display("metrics cannot be sent: {}", reason)
        }
    }
}

/// Where metrics go.
#[derive(Clone, Debug)]
pub struct MetricsSettings {
    /// Statsd listener; none is needed for the admin address.
    pub statsd: Option<SocketAddr>,
    /// First part of every metric's name, such as `hornbeamrock.entry`.
    pub prefix: String,
    /// Messages that wait for the owning thread at most; later ones are dropped and counted.
    pub queued_max: usize,
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self {
            statsd: None,
            prefix: String::new(),
            queued_max: QUEUED_MAX,
        }
    }
}

/// Whose number it is.
#[derive(Clone, Copy, Debug, Default)]
pub struct Label<'a> {
    /// Customer, where there is one.
    pub customer: Option<&'a CustomerName>,
    /// Class, where there is one.
    pub class: Option<Class>,
}

impl<'a> Label<'a> {
    /// A label with both parts.
    pub fn of(customer: &'a CustomerName, class: Class) -> Self {
        Self {
            customer: Some(customer),
            class: Some(class),
        }
    }
}

enum Message {
    Count(Series, u64),
    Gauge(Series, u64),
    Record(Series, u64),
    Rows(oneshot::Sender<Vec<Row>>),
}

/// Handle to the process's metrics; clones share one table.
#[derive(Clone)]
pub struct Metrics {
    queue: SyncSender<Message>,
    dropped: Arc<AtomicU64>,
}

impl Metrics {
    /// Starts the owning thread. Errors when it or its socket can't be had.
    pub fn start(settings: &MetricsSettings) -> Result<Metrics, MetricsError> {
        let client = client(settings)?;
        let (queue, messages) = sync_channel(settings.queued_max);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        thread::Builder::new()
            .name("metrics".to_owned())
            .spawn(move || own(&messages, &client, &counted))
            .map_err(MetricsError::Start)?;
        Ok(Metrics { queue, dropped })
    }

    /// Adds `by` to a counter.
    pub fn count(&self, name: &'static str, label: Label<'_>, by: u64) {
        self.send(Message::Count(series(name, label), by));
    }

    /// Sets a level, such as a queue's length.
    pub fn set_gauge(&self, name: &'static str, label: Label<'_>, value: u64) {
        self.send(Message::Gauge(series(name, label), value));
    }

    /// Records a value in a histogram; the name's suffix is its unit.
    pub fn record(&self, name: &'static str, label: Label<'_>, value: u64) {
        self.send(Message::Record(series(name, label), value));
    }

    /// All series as they stand, sorted; empty when the owning thread is gone.
    pub async fn rows(&self) -> Vec<Row> {
        let (answer, rows) = oneshot::channel();
        self.send(Message::Rows(answer));
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
    }
}

fn client(settings: &MetricsSettings) -> Result<StatsdClient, MetricsError> {
    let Some(address) = settings.statsd else {
        return Ok(StatsdClient::from_sink(&settings.prefix, NopMetricSink));
    };
    let any_port = SocketAddr::new(address.ip(), 0);
    let local = if address.ip().is_loopback() {
        any_port
    } else {
        unspecified(address)
    };
    let socket = UdpSocket::bind(local).map_err(MetricsError::Start)?;
    let sink = BufferedUdpMetricSink::from(address, socket).map_err(MetricsError::Sink)?;
    Ok(StatsdClient::from_sink(&settings.prefix, sink))
}

fn unspecified(address: SocketAddr) -> SocketAddr {
    let any: std::net::IpAddr = if address.is_ipv4() {
        std::net::Ipv4Addr::UNSPECIFIED.into()
    } else {
        std::net::Ipv6Addr::UNSPECIFIED.into()
    };
    SocketAddr::new(any, 0)
}

fn own(messages: &Receiver<Message>, client: &StatsdClient, dropped: &AtomicU64) {
    let mut table = Table::default();
    while let Ok(message) = messages.recv() {
        match message {
            Message::Count(series, by) => {
                tag(client.count_with_tags(series.name, by), &series).send();
                table.count(series, by);
            }
            Message::Gauge(series, value) => {
                tag(client.gauge_with_tags(series.name, value), &series).send();
                table.set_gauge(series, value);
            }
            Message::Record(series, value) => {
                tag(client.histogram_with_tags(series.name, value), &series).send();
                table.record(series, value);
            }
            Message::Rows(answer) => {
                let lost = dropped.swap(0, Ordering::Relaxed);
                table.count(series(DROPPED, Label::default()), lost);
                // The one who asked may have gone; then nobody wants the rows.
                let _ = answer.send(table.rows());
            }
        }
    }
}

fn tag<'m, 'c, T>(
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
    metric
}
