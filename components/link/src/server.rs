//! Callee side: the task that owns the table of calls and the connections.

use std::collections::HashMap;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use protocol::{Frame, Open};
use recovery::{CallTable, SilenceAction, SilenceDetector, TableAction};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};
use types::{CallId, NodeId};

use crate::accept::Acceptor;
use crate::answer::{AnswerControl, AnswerEvent, AnswerSender};
use crate::clock::Clock;
use crate::connection::{Connection, EstablishedConnection, ReceivedFrame};
use crate::{IncomingCall, LinkError, LinkSettings};

/// Received frames that wait for the task. While so many wait, no socket is read.
const RECEIVED_FRAMES_MAX: usize = 1_024;
/// How often timeouts and silent connections are checked while calls are held.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Serves calls on `listener`. `handle` is called once for each call; it must not block and
/// spawns the work itself.
///
/// After `stop` completes, new calls are refused as not run with the cause "leaving". The
/// function returns once every call has ended and its answer was acknowledged by the caller or
/// was kept for `answer_retention_ms`.
pub async fn serve(
    listener: TcpListener,
    settings: LinkSettings,
    handle: impl Fn(IncomingCall) + Clone + Send + 'static,
    stop: impl Future<Output = ()> + Send,
) {
    let (event_sender, events) = mpsc::channel(RECEIVED_FRAMES_MAX);
    let (answer_sender, answer_events) = mpsc::unbounded_channel();
    let server = Server::new(settings.clone(), event_sender, answer_sender, handle);
    let acceptor = Acceptor::start(listener, settings, server.boot);
    server.run(acceptor, events, answer_events, stop).await;
}

/// A received frame or the end of a connection.
struct ConnectionEvent {
    connection: u64,
    /// `None` if the connection has ended.
    received: Option<ReceivedFrame>,
}

struct ServedConnection {
    connection: Connection,
    silence: SilenceDetector,
}

struct Server<H> {
    settings: LinkSettings,
    boot: u64,
    clock: Clock,
    table: CallTable,
    connections: HashMap<u64, ServedConnection>,
    next_connection: u64,
    answers: HashMap<CallId, AnswerControl>,
    event_sender: mpsc::Sender<ConnectionEvent>,
    answer_sender: mpsc::UnboundedSender<(CallId, AnswerEvent)>,
    handle: H,
}

impl<H: Fn(IncomingCall)> Server<H> {
    fn new(
        settings: LinkSettings,
        event_sender: mpsc::Sender<ConnectionEvent>,
        answer_sender: mpsc::UnboundedSender<(CallId, AnswerEvent)>,
        handle: H,
    ) -> Self {
        Self {
            boot: rand::random(),
            clock: Clock::start(),
            table: CallTable::new(settings.table()),
            connections: HashMap::new(),
            next_connection: 0,
            answers: HashMap::new(),
            event_sender,
            answer_sender,
            handle,
            settings,
        }
    }

    async fn run(
        mut self,
        mut acceptor: Acceptor,
        mut events: mpsc::Receiver<ConnectionEvent>,
        mut answer_events: mpsc::UnboundedReceiver<(CallId, AnswerEvent)>,
        stop: impl Future<Output = ()> + Send,
    ) {
        let mut stop = pin!(stop);
        let mut stopping = false;
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !(stopping && self.table.is_empty()) {
            let holds_calls = !self.table.is_empty();
            tokio::select! {
                Some(established) = acceptor.established.recv() => self.add_connection(established),
                Some(event) = events.recv() => self.handle_connection_event(event),
                Some((id, event)) = answer_events.recv() => self.handle_answer_event(id, event),
                _ = ticks.tick(), if holds_calls => self.handle_tick(),
                () = &mut stop, if !stopping => {
                    stopping = true;
                    self.table.start_draining();
                }
            }
        }
        for (_, served) in self.connections.drain() {
            served.connection.close_after_flush();
        }
    }

    fn add_connection(&mut self, established: EstablishedConnection) {
        let connection = self.next_connection;
        self.next_connection += 1;
        let boot = established.peer.boot;
        let served = self.start_connection(connection, established);
        self.connections.insert(connection, served);
        let now_ms = self.clock.now_ms();
        self.update_table(|table, actions| table.add_connection(connection, boot, now_ms, actions));
    }

    fn start_connection(
        &self,
        connection: u64,
        established: EstablishedConnection,
    ) -> ServedConnection {
        let peer = established.peer.node;
        let wrap = move |received| ConnectionEvent {
            connection,
            received: Some(received),
        };
        let closed = move |reason: LinkError| {
            log::info!(event = "link-closed", peer:% = peer, cause:% = reason; "");
            Some(ConnectionEvent {
                connection,
                received: None,
            })
        };
        let counters = self.settings.counters.clone();
        let frames = self.event_sender.clone();
        let started = Connection::start(established, self.clock, counters, frames, wrap, closed);
        let silence =
            SilenceDetector::new(self.settings.ping_after_ms, self.settings.ping_deadline_ms);
        ServedConnection {
            connection: started,
            silence,
        }
    }

    fn handle_connection_event(&mut self, event: ConnectionEvent) {
        let connection = event.connection;
        let Some(ReceivedFrame { frame, at_ms }) = event.received else {
            self.close(connection);
            return;
        };
        if let Frame::Ping { number } = frame {
            self.send(connection, Frame::Pong { number });
            return;
        }
        let now_ms = self.clock.now_ms();
        self.update_table(|table, actions| {
            table.handle_frame(connection, frame, at_ms, now_ms, actions)
        });
    }

    fn handle_answer_event(&mut self, id: CallId, event: AnswerEvent) {
        let now_ms = self.clock.now_ms();
        self.update_table(|table, actions| match event {
            AnswerEvent::Accepted => table.mark_accepted(id, actions),
            AnswerEvent::Started => table.mark_started(id, actions),
            AnswerEvent::Head(head) => table.send_head(id, head, actions),
            AnswerEvent::Chunk(bytes) => table.send_chunk(id, bytes, actions),
            AnswerEvent::End => table.finish(id, now_ms, actions),
            AnswerEvent::Fail(failure) => table.fail(id, failure, now_ms, actions),
            AnswerEvent::Dropped => table.abandon(id, now_ms, actions),
        });
    }

    fn handle_tick(&mut self) {
        let now_ms = self.clock.now_ms();
        self.update_table(|table, actions| table.tick(now_ms, actions));
        let active_connections = self.table.active_connections();
        let mut dead = Vec::new();
        for (&number, served) in &mut self.connections {
            let is_active = active_connections.contains(&number);
            let last_received_ms = served.connection.last_received_ms();
            match served.silence.check(is_active, last_received_ms, now_ms) {
                SilenceAction::Idle | SilenceAction::CheckAt { .. } => {}
                SilenceAction::Ping { number: ping } => {
                    let _ = served.connection.send(Frame::Ping { number: ping });
                }
                SilenceAction::Dead => dead.push(number),
            }
        }
        for number in dead {
            log::info!(event = "link-silent", connection = number; "");
            self.close(number);
        }
    }

    fn update_table(&mut self, change: impl FnOnce(&mut CallTable, &mut Vec<TableAction>)) {
        let mut actions = Vec::new();
        change(&mut self.table, &mut actions);
        for action in actions {
            self.apply(action);
        }
    }

    fn apply(&mut self, action: TableAction) {
        match action {
            TableAction::Send { connection, frame } => self.send(connection, frame),
            TableAction::Close { connection } => self.close(connection),
            TableAction::Run { connection, open } => self.start_handler(connection, *open),
            TableAction::Credit { id, bytes } => {
                self.answers
                    .get(&id)
                    .into_iter()
                    .for_each(|answer| answer.credit(bytes));
            }
            TableAction::Unblock { id } => {
                self.answers
                    .get(&id)
                    .into_iter()
                    .for_each(AnswerControl::unblock);
            }
            TableAction::Cancel { id } => {
                self.answers
                    .get(&id)
                    .into_iter()
                    .for_each(AnswerControl::cancel);
            }
            TableAction::Drop { id } => {
                self.answers.remove(&id);
            }
        }
    }

    fn start_handler(&mut self, connection: u64, open: Open) {
        let id = open.id;
        let settings = &self.settings;
        let limits = (settings.window_bytes, settings.frame_bytes_max);
        let (answer, control) =
            AnswerSender::new(id, self.answer_sender.clone(), limits.0, limits.1);
        self.answers.insert(id, control);
        let from = self.peer_of(connection);
        (self.handle)(IncomingCall { open, from, answer });
    }

    fn peer_of(&self, connection: u64) -> NodeId {
        let served = self.connections.get(&connection);
        served.map_or(self.settings.node, |served| served.connection.peer.node)
    }

    fn send(&mut self, connection: u64, frame: Frame) {
        let Some(served) = self.connections.get(&connection) else {
            return;
        };
        if served.connection.send(frame).is_err() {
            self.close(connection);
        }
    }

    fn close(&mut self, connection: u64) {
        if self.connections.remove(&connection).is_some() {
            self.table
                .remove_connection(connection, self.clock.now_ms());
        }
    }
}
