//! Caller side: the task that owns the connection to one peer and all calls to that peer.

use std::future::pending;
use std::net::SocketAddr;
use std::pin::Pin;

use protocol::Frame;
use recovery::{SilenceAction, SilenceDetector, reconnect_after_ms};
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use crate::call::Command;
use crate::clock::Clock;
use crate::connection::{Connection, EstablishedConnection, ReceivedFrame};
use crate::outgoing::OutgoingCalls;
use crate::{LinkError, LinkSettings, handshake};

/// Received frames that wait for the task. While so many wait, the socket is not read.
const RECEIVED_FRAMES_MAX: usize = 256;
/// A peer without calls for this long is disconnected and its task ends.
const IDLE_TIMEOUT_MS: u64 = 60_000;

type Connecting = Pin<Box<dyn Future<Output = Result<EstablishedConnection, LinkError>> + Send>>;

/// State of the task for one peer.
pub(crate) struct Peer {
    to: SocketAddr,
    settings: LinkSettings,
    boot: u64,
    clock: Clock,
    calls: OutgoingCalls,
    state: State,
    /// Consecutive failed attempts to connect.
    failures: u32,
    idle_since_ms: u64,
}

enum State {
    /// There is no call that needs a connection.
    Disconnected,
    /// Waits until `until_ms` before the next attempt to connect.
    BackingOff {
        until_ms: u64,
    },
    Connecting(Connecting),
    Connected(Box<LiveConnection>),
}

struct LiveConnection {
    connection: Connection,
    frames: mpsc::Receiver<ReceivedFrame>,
    silence: SilenceDetector,
    /// When to check again whether the peer is silent; `None` without calls in progress.
    silence_check_ms: Option<u64>,
}

enum PeerEvent {
    Command(Option<Command>),
    ConnectResult(Box<Result<EstablishedConnection, LinkError>>),
    Frame(Option<ReceivedFrame>),
    Timer,
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
            state: State::Disconnected,
            failures: 0,
            idle_since_ms: 0,
        }
    }

    /// Runs until every handle is dropped or the peer was idle for [`IDLE_TIMEOUT_MS`].
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        loop {
            self.check_silence().await;
            let accepts_frames = match self.next_event(&mut commands).await {
                PeerEvent::Command(None) => break,
                PeerEvent::Command(Some(command)) => self.handle_command(command),
                PeerEvent::ConnectResult(result) => self.handle_connect_result(*result),
                PeerEvent::Frame(Some(received)) => self.handle_frame(received),
                PeerEvent::Frame(None) => false,
                PeerEvent::Timer => self.handle_timer(),
            };
            if !accepts_frames {
                self.drop_connection().await;
            }
            if self.is_idle() {
                break;
            }
        }
        commands.close();
        self.refuse_remaining(commands).await;
        if let State::Connected(live) = self.state {
            live.connection.close_after_flush();
        }
    }

    async fn next_event(&mut self, commands: &mut mpsc::UnboundedReceiver<Command>) -> PeerEvent {
        let wake_at_ms = self.wake_at_ms();
        let timer = sleep_until(self.clock.at(wake_at_ms));
        tokio::select! {
            command = commands.recv() => PeerEvent::Command(command),
            event = self.state.next_event() => event,
            () = timer => PeerEvent::Timer,
        }
    }

    fn wake_at_ms(&self) -> u64 {
        let idle = self
            .calls
            .is_empty()
            .then_some(self.idle_since_ms + IDLE_TIMEOUT_MS);
        let due_times_ms = [self.state.wake_at_ms(), self.calls.wake_at_ms(), idle];
        due_times_ms
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.clock.now_ms() + IDLE_TIMEOUT_MS)
    }

    fn is_idle(&mut self) -> bool {
        let now_ms = self.clock.now_ms();
        if !self.calls.is_empty() {
            self.idle_since_ms = now_ms;
        }
        now_ms >= self.idle_since_ms + IDLE_TIMEOUT_MS
    }

    fn handle_command(&mut self, command: Command) -> bool {
        let now_ms = self.clock.now_ms();
        match command {
            Command::Open { open, events } => {
                self.idle_since_ms = now_ms;
                if matches!(self.state, State::Disconnected | State::BackingOff { .. }) {
                    self.connect();
                }
                let connection = self.state.connection();
                self.calls.start(open, events, connection, now_ms)
            }
            Command::Consumed { id, next_part } => {
                self.calls
                    .acknowledge(id, next_part, self.state.connection())
            }
            Command::Cancel { id } => self.calls.cancel(id, self.state.connection(), now_ms),
        }
    }

    fn handle_frame(&mut self, received: ReceivedFrame) -> bool {
        let now_ms = self.clock.now_ms();
        let Some(connection) = self.state.connection() else {
            return true;
        };
        match received.frame {
            Frame::Ping { number } => connection.send(Frame::Pong { number }).is_ok(),
            frame => self.calls.handle_frame(frame, connection, now_ms),
        }
    }

    fn handle_timer(&mut self) -> bool {
        let now_ms = self.clock.now_ms();
        let accepts_frames = self.calls.handle_timers(self.state.connection(), now_ms);
        if let State::BackingOff { until_ms } = self.state
            && now_ms >= until_ms
        {
            self.reconnect_if_wanted();
        }
        accepts_frames
    }

    fn connect(&mut self) {
        let (to, settings, boot) = (self.to, self.settings.clone(), self.boot);
        self.state = State::Connecting(Box::pin(async move {
            handshake::connect(to, &settings, boot).await
        }));
    }

    fn reconnect_if_wanted(&mut self) {
        if self.calls.is_empty() {
            self.state = State::Disconnected;
        } else {
            self.connect();
        }
    }

    fn handle_connect_result(&mut self, result: Result<EstablishedConnection, LinkError>) -> bool {
        match result {
            Ok(established) => self.start_connection(established),
            Err(error) => {
                self.back_off(&error);
                true
            }
        }
    }

    fn start_connection(&mut self, established: EstablishedConnection) -> bool {
        self.failures = 0;
        let (frames_in, frames) = mpsc::channel(RECEIVED_FRAMES_MAX);
        let counters = self.settings.counters.clone();
        let to = self.to;
        let closed = move |reason: LinkError| {
            log::info!(event = "link-closed", peer:% = to, cause:% = reason; "");
            None
        };
        let wrap = |received| received;
        let connection =
            Connection::start(established, self.clock, counters, frames_in, wrap, closed);
        let silence =
            SilenceDetector::new(self.settings.ping_after_ms, self.settings.ping_deadline_ms);
        let accepts_frames = self
            .calls
            .handle_connected(&connection, self.clock.now_ms());
        let live = LiveConnection {
            connection,
            frames,
            silence,
            silence_check_ms: None,
        };
        self.state = State::Connected(Box::new(live));
        accepts_frames
    }

    fn back_off(&mut self, error: &LinkError) {
        log::info!(event = "connect-failed", peer:% = self.to, cause:% = error; "");
        let now_ms = self.clock.now_ms();
        self.failures += 1;
        self.calls.handle_connect_failure(now_ms);
        if self.calls.is_empty() {
            self.state = State::Disconnected;
            return;
        }
        let backoff_ms = reconnect_after_ms(self.failures, rand::random());
        self.state = State::BackingOff {
            until_ms: now_ms + backoff_ms,
        };
    }

    /// Pings the peer if it is silent, and drops the connection if a ping was not answered in
    /// time.
    async fn check_silence(&mut self) {
        let now_ms = self.clock.now_ms();
        let has_calls = !self.calls.is_empty();
        let State::Connected(live) = &mut self.state else {
            return;
        };
        let last_received_ms = live.connection.last_received_ms();
        let action = live.silence.check(has_calls, last_received_ms, now_ms);
        live.silence_check_ms = match action {
            SilenceAction::Idle => None,
            SilenceAction::CheckAt { at_ms } => Some(at_ms),
            SilenceAction::Ping { number } => {
                let _ = live.connection.send(Frame::Ping { number });
                Some(now_ms + self.settings.ping_deadline_ms)
            }
            SilenceAction::Dead => {
                log::info!(event = "link-silent", peer:% = self.to; "");
                self.drop_connection().await;
                return;
            }
        };
    }

    /// Closes the connection and reconnects if calls are left to resume.
    async fn drop_connection(&mut self) {
        if let State::Connected(live) = std::mem::replace(&mut self.state, State::Disconnected) {
            live.connection.abort().await;
        }
        self.calls.handle_connection_loss(self.clock.now_ms());
        self.reconnect_if_wanted();
    }

    /// Fails the calls that arrived while the task was about to end; none of their bytes were
    /// written.
    async fn refuse_remaining(&mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let now_ms = self.clock.now_ms();
        while let Some(command) = commands.recv().await {
            if let Command::Open { open, events } = command {
                self.calls.start(open, events, None, now_ms);
            }
        }
        self.calls.handle_connect_failure(now_ms);
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
            State::BackingOff { until_ms } => Some(*until_ms),
            State::Connected(live) => live.silence_check_ms,
            State::Disconnected | State::Connecting(_) => None,
        }
    }

    /// Waits for the next event of the connection. Cancel safe.
    async fn next_event(&mut self) -> PeerEvent {
        match self {
            State::Connecting(connecting) => PeerEvent::ConnectResult(Box::new(connecting.await)),
            State::Connected(live) => PeerEvent::Frame(live.frames.recv().await),
            State::Disconnected | State::BackingOff { .. } => pending().await,
        }
    }
}
