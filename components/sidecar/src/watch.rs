//! Looks at the endpoint: every now and then, at once when a call has lost it, and
//! whenever an order wants its state read back. One task makes all looks, so that they
//! are published in the order in which they were made.

use std::sync::Arc;
use std::time::Duration;

use adapters::{EngineState, PlatformError, Request};
use config::ServiceKind;
use node::now_ms;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};

use crate::agent::Agent;
use crate::health::Look;
use crate::vitals::{Sign, Vitals};

/// Time between two looks.
const LOOK_EVERY: Duration = Duration::from_millis(500);
/// Requests for a look that wait at most.
const ASKS_MAX: usize = 64;
/// Path at which a plain service says that it is well.
const HEALTH_PATH: &str = "/healthz";
/// Statuses from here on say that a plain service is not well.
const SERVER_ERROR: u16 = 500;

type Ask = oneshot::Sender<Option<EngineState>>;

/// Asks the watching task for a look.
#[derive(Clone)]
pub struct Watch {
    asks: mpsc::Sender<Ask>,
}

impl Watch {
    /// Starts to look.
    pub fn start(agent: Arc<Agent>) -> Watch {
        let (asks, asked) = mpsc::channel(ASKS_MAX);
        tokio::spawn(watch(agent, asked));
        Watch { asks }
    }

    /// The engine's state, read now; `None` when it could not be read.
    pub async fn read(&self) -> Option<EngineState> {
        let (ask, answer) = oneshot::channel();
        self.asks.send(ask).await.ok()?;
        answer.await.ok().flatten()
    }
}

async fn watch(agent: Arc<Agent>, mut asked: mpsc::Receiver<Ask>) {
    let mut vitals = Vitals::default();
    let mut ticks = interval(LOOK_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let ask = tokio::select! {
            _ = ticks.tick() => None,
            () = agent.health.suspected() => None,
            ask = asked.recv() => match ask {
                Some(ask) => Some(ask),
                None => return,
            },
        };
        let read = look(&agent, &mut vitals).await;
        if let Some(ask) = ask {
            // Whoever asked may have given up meanwhile.
            let _ = ask.send(read);
        }
    }
}

/// One look; gives the engine's state if this very look has read it.
async fn look(agent: &Agent, vitals: &mut Vitals) -> Option<EngineState> {
    let before = agent.health.look();
    let (sign, mut seen) = match agent.site.kind {
        ServiceKind::Model => look_at_engine(agent, &before).await,
        ServiceKind::Plain => look_at_plain(agent).await,
    };
    let change = vitals.see(sign);
    seen.up = vitals.is_up();
    let switched = before.engine != seen.engine;
    let answered = matches!(sign, Sign::Answered { .. });
    let read = seen.engine.clone().filter(|_| answered);
    agent.health.publish(seen);
    if change.lost {
        agent.health.next_life();
        log::warn!(event = "endpoint-lost", life = agent.health.life(); "");
    }
    if change.turned {
        log::info!(event = "endpoint-turned", up = vitals.is_up(); "");
    }
    if change.lost || change.turned || switched {
        agent.health.changed();
    }
    read
}

async fn look_at_engine(agent: &Agent, before: &Look) -> (Sign, Look) {
    let state = match agent.engine.state().await {
        Ok(state) => state,
        Err(error) => return (Sign::of_error(&error), before.clone()),
    };
    let mut seen = before.clone();
    // The report is a hint for the choice of an endpoint; an old one does as well.
    if let Ok(load) = agent.engine.load_report().await {
        seen.load = load;
        seen.load_read_ms = now_ms();
    }
    let life = Some(state.life);
    seen.engine = Some(state);
    (Sign::Answered { life }, seen)
}

async fn look_at_plain(agent: &Agent) -> (Sign, Look) {
    let request = Request::new("GET", HEALTH_PATH);
    let sent = agent
        .endpoint
        .send(request, agent.limits.engine_deadline_ms)
        .await;
    let sign = match sent {
        Ok(response) if response.head.status < SERVER_ERROR => well(response.body).await,
        Ok(_) => Sign::Silent,
        Err(error) => Sign::of_error(&error),
    };
    let seen = Look {
        load_read_ms: now_ms(),
        ..Look::default()
    };
    (sign, seen)
}

async fn well(body: adapters::Body) -> Sign {
    // Reading to the end lets the connection be used again.
    match body.read_to_end().await {
        Ok(_) | Err(PlatformError::TooLarge(_)) => Sign::Answered { life: None },
        Err(_) => Sign::Silent,
    }
}
