//! A trainer at fronts that come and go, at a store that loses answers and refuses.

use std::time::Duration;

use crate::common::{FrontHandle, Site, write_loaded_heartbeats};
use standins::fleet::trainer::{Expected, Trainer};
use standins::{Fault, FaultKind};

const EVENTS: u64 = 6;
const ITEMS: usize = 8;

/// What happens as a step is under way.
enum Trouble {
    None,
    /// A front dies and another one comes.
    Replaced,
    /// A front leaves and another one comes.
    Leaves,
    /// The store carries out appends of one front and loses the answers.
    AnswersLost,
    /// The store refuses one front's appends for a time.
    Refused,
    /// The store carries an append of one front out a while later.
    Late,
    /// The oldest part of the index is gone.
    HistoryGone,
    /// All partitions are dealt anew.
    DealtAnew,
}

struct Fronts {
    running: Vec<FrontHandle>,
    started: usize,
}

impl Fronts {
    async fn start_one(&mut self, site: &Site) {
        self.started += 1;
        let name = format!("front-{}", self.started);
        self.running.push(site.front(&name).await);
    }

    async fn make(&mut self, site: &Site, trouble: &Trouble) {
        let appends = |kind| Fault::new(kind).on("/v1/log-append");
        let door = &self.running[0].store_listener;
        match trouble {
            Trouble::None => {}
            Trouble::Replaced => {
                self.start_one(site).await;
                self.running.remove(0);
            }
            Trouble::Leaves => {
                self.start_one(site).await;
                let mut leaving = self.running.remove(0);
                leaving.stop();
                let ended = tokio::time::timeout(Duration::from_secs(20), &mut leaving.task);
                assert!(ended.await.is_ok(), "it never leaves");
            }
            Trouble::AnswersLost => door.fault(appends(FaultKind::AnswerLost).times(3)),
            Trouble::Refused => door.fault(appends(FaultKind::Outage).times(6)),
            Trouble::Late => door.fault(appends(FaultKind::Late).times(2).delayed(80)),
            Trouble::HistoryGone => site.store.forget("keyed.op", 0),
            Trouble::DealtAnew => site.store.deal_anew(),
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn can_train_through_every_trouble() {
    // The trainer reads each step at fronts in turn. Whatever befalls a front or the store
    // beside it, each item comes once, whole, at one position for ever, made by the version
    // that was named or the one before, and scored.
    let site = Site::start(EVENTS, 5).await;
    let mut fronts = Fronts {
        running: Vec::new(),
        started: 0,
    };
    for _ in 0..3 {
        fronts.start_one(&site).await;
    }
    let expected = Expected {
        events: EVENTS,
        within: Duration::from_secs(20),
    };
    let mut trainer = Trainer::new(site.store.clone(), expected);
    let troubles = [
        Trouble::None,
        Trouble::AnswersLost,
        Trouble::Replaced,
        Trouble::Refused,
        Trouble::HistoryGone,
        Trouble::Late,
        Trouble::Leaves,
        Trouble::DealtAnew,
        Trouble::None,
    ];
    for (number, trouble) in (1..).zip(&troubles) {
        trainer.use_fronts(fronts.running.iter().map(|front| front.client_address));
        // Known to the trainer before it is made, so that some of its calls meet it.
        fronts.make(&site, trouble).await;
        let heartbeats = async {
            loop {
                write_loaded_heartbeats(&site);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let trained = tokio::select! {
            trained = trainer.train(number, ITEMS) => trained,
            () = heartbeats => unreachable!("heartbeats never end"),
        };
        assert!(trained.is_ok(), "step {number}: {:?}", trained.err());
    }
}
