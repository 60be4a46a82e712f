//! Callee side: the task that owns the table of calls and the connections.

use std::collections::HashMap;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use protocol::{Frame, Open};
use recovery::{CallTable, Silence, TableAction, Watch};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};
use types::{CallId, NodeId};

use crate::accept::Acceptor;
use crate::answer::{AnswerControl, AnswerSender, Said};
use crate::clock::Clock;
use crate::connection::{Arrived, Connection, Greeted};
use crate::{IncomingCall, LinkError, LinkSettings};

/// Frames that wait for the task; beyond that sockets are not read.
const ARRIVED_MAX: usize = 1_024;
/// How often times are looked at while calls are held.
const TICK: Duration = Duration::from_millis(50);

/// Serves calls on `listener`. `handle` is called once for each call, must not block, and
/// spawns the work itself. When `stop` completes, new calls are refused as not run
/// (leaving), and the function returns once every call has ended and its caller has
/// acknowledged it or the time to keep it has passed.
pub async fn serve(
    listener: TcpListener,
    settings: LinkSettings,
    handle: impl Fn(IncomingCall) + Clone + Send + 'static,
    stop: impl Future<Output = ()> + Send,
) {
    let (arrived_in, arrived) = mpsc::channel(ARRIVED_MAX);
    let (said_in, said) = mpsc::unbounded_channel();
    let server = Server::new(settings.clone(), arrived_in, said_in, handle);
    let acceptor = Acceptor::start(listener, settings, server.boot);
    server.run(acceptor, arrived, said, stop).await;
}

/// What a connection brings.
struct FromConnection {
    connection: u64,
    /// `None` when it has ended.
    arrived: Option<Arrived>,
}

struct Taken {
    connection: Connection,
    silence: Silence,
}

struct Server<H> {
    settings: LinkSettings,
    boot: u64,
    clock: Clock,
    table: CallTable,
    connections: HashMap<u64, Taken>,
    connections_made: u64,
    answers: HashMap<CallId, AnswerControl>,
    arrived_in: mpsc::Sender<FromConnection>,
    said_in: mpsc::UnboundedSender<(CallId, Said)>,
    handle: H,
}

impl<H: Fn(IncomingCall)> Server<H> {
    fn new(
        settings: LinkSettings,
        arrived_in: mpsc::Sender<FromConnection>,
        said_in: mpsc::UnboundedSender<(CallId, Said)>,
        handle: H,
    ) -> Self {
        Self {
            boot: rand::random(),
            clock: Clock::start(),
            table: CallTable::new(settings.table()),
            connections: HashMap::new(),
            connections_made: 0,
            answers: HashMap::new(),
            arrived_in,
            said_in,
            handle,
            settings,
        }
    }

    async fn run(
        mut self,
        mut acceptor: Acceptor,
        mut arrived: mpsc::Receiver<FromConnection>,
        mut said: mpsc::UnboundedReceiver<(CallId, Said)>,
        stop: impl Future<Output = ()> + Send,
    ) {
        let mut stop = pin!(stop);
        let mut stopping = false;
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while !(stopping && self.table.is_empty()) {
            let holds_calls = !self.table.is_empty();
            tokio::select! {
                Some(greeted) = acceptor.greeted.recv() => self.connected(greeted),
                Some(from) = arrived.recv() => self.arrived(from),
                Some((id, said)) = said.recv() => self.said(id, said),
                _ = ticks.tick(), if holds_calls => self.tick(),
                () = &mut stop, if !stopping => {
                    stopping = true;
                    self.table.leave();
                }
            }
        }
        for (_, taken) in self.connections.drain() {
            taken.connection.finish();
        }
    }

    fn connected(&mut self, greeted: Greeted) {
        let connection = self.connections_made;
        self.connections_made += 1;
        let boot = greeted.peer.boot;
        let taken = self.start(connection, greeted);
        self.connections.insert(connection, taken);
        let now_ms = self.clock.now_ms();
        self.change(|table, actions| table.connected(connection, boot, now_ms, actions));
    }

    fn start(&self, connection: u64, greeted: Greeted) -> Taken {
        let peer = greeted.peer.node;
        let wrap = move |arrived| FromConnection {
            connection,
            arrived: Some(arrived),
        };
        let closed = move |reason: LinkError| {
            log::info!(event = "link-closed", peer:% = peer, cause:% = reason; "");
            Some(FromConnection {
                connection,
                arrived: None,
            })
        };
        let counters = self.settings.counters.clone();
        let frames = self.arrived_in.clone();
        let running = Connection::start(greeted, self.clock, counters, frames, wrap, closed);
        let silence = Silence::new(self.settings.ping_after_ms, self.settings.ping_deadline_ms);
        Taken {
            connection: running,
            silence,
        }
    }

    fn arrived(&mut self, from: FromConnection) {
        let connection = from.connection;
        let Some(Arrived { frame, at_ms }) = from.arrived else {
            self.close(connection);
            return;
        };
        if let Frame::Ping { number } = frame {
            self.send(connection, Frame::Pong { number });
            return;
        }
        let now_ms = self.clock.now_ms();
        self.change(|table, actions| table.frame(connection, frame, at_ms, now_ms, actions));
    }

    fn said(&mut self, id: CallId, said: Said) {
        let now_ms = self.clock.now_ms();
        self.change(|table, actions| match said {
            Said::Accepted => table.accepted(id, actions),
            Said::Started => table.started(id, actions),
            Said::Head(head) => table.head(id, head, actions),
            Said::Chunk(bytes) => table.chunk(id, bytes, actions),
            Said::End => table.end(id, now_ms, actions),
            Said::Fail(failure) => table.fail(id, failure, now_ms, actions),
            Said::Dropped => table.abandoned(id, now_ms, actions),
        });
    }

    fn tick(&mut self) {
        let now_ms = self.clock.now_ms();
        self.change(|table, actions| table.tick(now_ms, actions));
        let outstanding = self.table.outstanding();
        let mut dead = Vec::new();
        for (&number, taken) in &mut self.connections {
            let outstanding = outstanding.contains(&number);
            let heard_at_ms = taken.connection.heard_at_ms();
            match taken.silence.check(outstanding, heard_at_ms, now_ms) {
                Watch::Idle | Watch::Until { .. } => {}
                Watch::Ping { number: ping } => {
                    let _ = taken.connection.send(Frame::Ping { number: ping });
                }
                Watch::Dead => dead.push(number),
            }
        }
        for number in dead {
            log::info!(event = "link-silent", connection = number; "");
            self.close(number);
        }
    }

    fn change(&mut self, change: impl FnOnce(&mut CallTable, &mut Vec<TableAction>)) {
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
            TableAction::Run { connection, open } => self.hand_over(connection, *open),
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

    fn hand_over(&mut self, connection: u64, open: Open) {
        let id = open.id;
        let settings = &self.settings;
        let limits = (settings.window_bytes, settings.frame_bytes_max);
        let (answer, control) = AnswerSender::new(id, self.said_in.clone(), limits.0, limits.1);
        self.answers.insert(id, control);
        let from = self.peer_of(connection);
        (self.handle)(IncomingCall { open, from, answer });
    }

    fn peer_of(&self, connection: u64) -> NodeId {
        let taken = self.connections.get(&connection);
        taken.map_or(self.settings.node, |taken| taken.connection.peer.node)
    }

    fn send(&mut self, connection: u64, frame: Frame) {
        let Some(taken) = self.connections.get(&connection) else {
            return;
        };
        if taken.connection.send(frame).is_err() {
            self.close(connection);
        }
    }

    fn close(&mut self, connection: u64) {
        if self.connections.remove(&connection).is_some() {
            self.table.disconnected(connection, self.clock.now_ms());
        }
    }
}
