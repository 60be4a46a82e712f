//! Caller side: the task that owns the connection to one peer and all calls to it.

use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;

use protocol::Frame;
use recovery::{SilenceAction, SilenceDetector, reconnect_after_ms};
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use crate::call::Command;
use crate::clock::Clock;
use crate::connection::{Arrived, Connection, Greeted};
use crate::outgoing::OutgoingCalls;
use crate::{LinkError, LinkSettings, greet};

/// Frames that wait for the task; beyond that the socket is not read.
const ARRIVED_MAX: usize = 256;
/// A peer without calls for so long is let go.
const IDLE_MS: u64 = 60_000;

type Connecting = Pin<Box<dyn Future<Output = Result<Greeted, LinkError>> + Send>>;

/// One peer of a caller.
pub(crate) struct Peer {
    to: SocketAddr,
    settings: LinkSettings,
    boot: u64,
    clock: Clock,
    calls: OutgoingCalls,
    state: State,
    /// Attempts to connect that failed since the last one that did not.
    failures: u32,
    idle_since_ms: u64,
}

enum State {
    /// No connection is wanted.
    Apart,
    /// The next attempt comes then.
    Pausing {
        until_ms: u64,
    },
    Connecting(Connecting),
    Connected(Box<Live>),
}

struct Live {
    connection: Connection,
    frames: mpsc::Receiver<Arrived>,
    silence: SilenceDetector,
    watch_at_ms: Option<u64>,
}

enum Step {
    Command(Option<Command>),
    Greeted(Box<Result<Greeted, LinkError>>),
    Frame(Option<Arrived>),
    Time,
}

impl Peer {
    pub fn new(to: SocketAddr, settings: LinkSettings, boot: u64) -> Self {
        let calls = OutgoingCalls::new(settings.reattach_for_ms, settings.frame_bytes_max);
        Self {
            to,
            settings,
            boot,
            clock: Clock::start(),
            calls,
            state: State::Apart,
            failures: 0,
            idle_since_ms: 0,
        }
    }

    /// Runs until every handle is gone, or there was no call for a while.
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        loop {
            self.watch().await;
            let moving = match self.step(&mut commands).await {
                Step::Command(None) => break,
                Step::Command(Some(command)) => self.command(command),
                Step::Greeted(result) => self.greeted(*result),
                Step::Frame(Some(arrived)) => self.frame(arrived),
                Step::Frame(None) => false,
                Step::Time => self.time(),
            };
            if !moving {
                self.lose().await;
            }
            if self.is_idle() {
                break;
            }
        }
        commands.close();
        self.refuse_rest(commands).await;
        if let State::Connected(live) = self.state {
            live.connection.finish();
        }
    }

    async fn step(&mut self, commands: &mut mpsc::UnboundedReceiver<Command>) -> Step {
        let wake_at_ms = self.wake_at_ms();
        let wake = sleep_until(self.clock.at(wake_at_ms));
        tokio::select! {
            command = commands.recv() => Step::Command(command),
            step = self.state.next() => step,
            () = wake => Step::Time,
        }
    }

    fn wake_at_ms(&self) -> u64 {
        let idle = self
            .calls
            .is_empty()
            .then_some(self.idle_since_ms + IDLE_MS);
        let times = [self.state.wake_at_ms(), self.calls.wake_at_ms(), idle];
        times
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.clock.now_ms() + IDLE_MS)
    }

    fn is_idle(&mut self) -> bool {
        let now_ms = self.clock.now_ms();
        if !self.calls.is_empty() {
            self.idle_since_ms = now_ms;
        }
        now_ms >= self.idle_since_ms + IDLE_MS
    }

    fn command(&mut self, command: Command) -> bool {
        let now_ms = self.clock.now_ms();
        match command {
            Command::Open { open, events } => {
                self.idle_since_ms = now_ms;
                if matches!(self.state, State::Apart | State::Pausing { .. }) {
                    self.connect();
                }
                let connection = self.state.connection();
                self.calls.start(open, events, connection, now_ms)
            }
            Command::Taken { id, next_part } => {
                self.calls.taken(id, next_part, self.state.connection())
            }
            Command::Cancel { id } => self.calls.cancel(id, self.state.connection(), now_ms),
        }
    }

    fn frame(&mut self, arrived: Arrived) -> bool {
        let now_ms = self.clock.now_ms();
        let Some(connection) = self.state.connection() else {
            return true;
        };
        match arrived.frame {
            Frame::Ping { number } => connection.send(Frame::Pong { number }).is_ok(),
            frame => self.calls.frame(frame, connection, now_ms),
        }
    }

    fn time(&mut self) -> bool {
        let now_ms = self.clock.now_ms();
        let moving = self.calls.wake(self.state.connection(), now_ms);
        if let State::Pausing { until_ms } = self.state
            && now_ms >= until_ms
        {
            self.reconnect_if_wanted();
        }
        moving
    }

    fn connect(&mut self) {
        let (to, settings, boot) = (self.to, self.settings.clone(), self.boot);
        self.state = State::Connecting(Box::pin(async move {
            greet::connect(to, &settings, boot).await
        }));
    }

    fn reconnect_if_wanted(&mut self) {
        if self.calls.is_empty() {
            self.state = State::Apart;
        } else {
            self.connect();
        }
    }

    fn greeted(&mut self, result: Result<Greeted, LinkError>) -> bool {
        match result {
            Ok(greeted) => self.connected(greeted),
            Err(error) => {
                self.connect_failed(&error);
                true
            }
        }
    }

    fn connected(&mut self, greeted: Greeted) -> bool {
        self.failures = 0;
        let (frames_in, frames) = mpsc::channel(ARRIVED_MAX);
        let counters = self.settings.counters.clone();
        let to = self.to;
        let closed = move |reason: LinkError| {
            log::info!(event = "link-closed", peer:% = to, cause:% = reason; "");
            None
        };
        let wrap = |arrived| arrived;
        let connection = Connection::start(greeted, self.clock, counters, frames_in, wrap, closed);
        let silence =
            SilenceDetector::new(self.settings.ping_after_ms, self.settings.ping_deadline_ms);
        let moving = self.calls.connected(&connection, self.clock.now_ms());
        let live = Live {
            connection,
            frames,
            silence,
            watch_at_ms: None,
        };
        self.state = State::Connected(Box::new(live));
        moving
    }

    fn connect_failed(&mut self, error: &LinkError) {
        log::info!(event = "connect-failed", peer:% = self.to, cause:% = error; "");
        let now_ms = self.clock.now_ms();
        self.failures += 1;
        self.calls.connect_failed(now_ms);
        if self.calls.is_empty() {
            self.state = State::Apart;
            return;
        }
        let pause_ms = reconnect_after_ms(self.failures, rand::random());
        self.state = State::Pausing {
            until_ms: now_ms + pause_ms,
        };
    }

    /// Pings a silent connection, and closes one that has missed its deadline.
    async fn watch(&mut self) {
        let now_ms = self.clock.now_ms();
        let outstanding = !self.calls.is_empty();
        let State::Connected(live) = &mut self.state else {
            return;
        };
        let heard_at_ms = live.connection.heard_at_ms();
        let watch = live.silence.check(outstanding, heard_at_ms, now_ms);
        live.watch_at_ms = match watch {
            SilenceAction::Idle => None,
            SilenceAction::CheckAt { at_ms } => Some(at_ms),
            SilenceAction::Ping { number } => {
                let _ = live.connection.send(Frame::Ping { number });
                Some(now_ms + self.settings.ping_deadline_ms)
            }
            SilenceAction::Dead => {
                log::info!(event = "link-silent", peer:% = self.to; "");
                self.lose().await;
                return;
            }
        };
    }

    /// Closes the connection and makes another one for the calls that still want one.
    async fn lose(&mut self) {
        if let State::Connected(live) = std::mem::replace(&mut self.state, State::Apart) {
            live.connection.cut().await;
        }
        self.calls.lost(self.clock.now_ms());
        self.reconnect_if_wanted();
    }

    /// Calls that came while the task was about to end; nothing of them was written.
    async fn refuse_rest(&mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let now_ms = self.clock.now_ms();
        while let Some(command) = commands.recv().await {
            if let Command::Open { open, events } = command {
                self.calls.start(open, events, None, now_ms);
            }
        }
        self.calls.connect_failed(now_ms);
    }
}

impl State {
    fn connection(&self) -> Option<&Connection> {
        match self {
            State::Connected(live) => Some(&live.connection),
            _ => None,
        }
    }

    fn wake_at_ms(&self) -> Option<u64> {
        match self {
            State::Pausing { until_ms } => Some(*until_ms),
            State::Connected(live) => live.watch_at_ms,
            State::Apart | State::Connecting(_) => None,
        }
    }

    /// Waits for what the connection brings. Loses nothing when dropped half-way.
    async fn next(&mut self) -> Step {
        match self {
            State::Connecting(connecting) => Step::Greeted(Box::new(connecting.await)),
            State::Connected(live) => Step::Frame(live.frames.recv().await),
            State::Apart | State::Pausing { .. } => pending().await,
        }
    }
}
