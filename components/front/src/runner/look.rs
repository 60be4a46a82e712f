//! What the runner does when it looks at the steps: stops, starts and moves runs.

use steps::SavedPiece;

use super::*;

/// A waiting item with what is needed to start it.
struct Candidate {
    key: Key,
    head: Arc<StepHead>,
    waiting: Waiting,
    left_ms: u64,
}

/// Steps whose items compete for the same replicas.
struct Contest {
    head: Arc<StepHead>,
    waiting: Vec<Candidate>,
}

impl Contest {
    fn takes(&self, head: &StepHead) -> bool {
        self.head.host == head.host
            && self.head.prefix == head.prefix
            && self.head.model == head.model
    }
}

impl Runner {
    pub(super) fn look(&mut self) {
        let now_ms = now_ms();
        self.stop_what_ended(now_ms);
        self.save(now_ms);
        if self.front.drain.is_leaving() {
            return;
        }
        let index_age_ms = self.front.index_age_ms(now_ms);
        if index_age_ms.is_none_or(|age_ms| age_ms >= INDEX_AGE_MS_MAX) {
            return;
        }
        let Some(routes) = self.front.routes.load_full() else {
            return;
        };
        for contest in self.contests(now_ms) {
            match routes.exact(&contest.head.host, &contest.head.prefix) {
                Some(route) => self.start(route, contest, now_ms),
                None => {
                    for item in &contest.waiting {
                        self.give_up(item.key, ErrorCause::GivenUp);
                    }
                }
            }
        }
    }

    /// Stops items that are listed, whose step was ended, or that belong to another front.
    fn stop_what_ended(&mut self, now_ms: u64) {
        let front = Arc::clone(&self.front);
        let leaving = self.is_handing_over(now_ms);
        let index = front.index();
        let wanted = |key: &Key, whole: bool| {
            index.ledger.get(key.0).is_some_and(|step| {
                // A whole text is scored and written whoever runs the model now.
                let mine = whole || !leaving && front.may_finish(&step.head.model);
                let progress = step.progress.get(key.1 as usize);
                !step.ended && mine && progress.is_some_and(|item| !item.listed)
            })
        };
        self.running
            .retain(|key, running| wanted(key, running.at.is_none()));
        // A leaving front still saves what its runs made.
        self.partials.retain(|key, _| wanted(key, leaving));
        self.failed_runs.retain(|key, _| wanted(key, false));
        self.data
            .retain(|step, _| index.ledger.get(*step).is_some_and(Step::is_open));
    }

    /// Whether this front leaves and hands its runs over. Where the store was away when the stop
    /// signal came, nothing can be saved and nobody would take over: the runs go on then, as
    /// long as the process may.
    fn is_handing_over(&mut self, now_ms: u64) -> bool {
        if !self.front.drain.is_leaving() {
            return false;
        }
        let front = &self.front;
        !*self.leaves_late.get_or_insert_with(|| {
            let index_age_ms = front.index_age_ms(now_ms);
            let silent = index_age_ms.is_some_and(|age_ms| age_ms >= STORE_AWAY_MS);
            silent || front.storage.is_lost()
        })
    }

    /// Saves texts that are not whole, at intervals and once more when this front leaves.
    fn save(&mut self, now_ms: u64) {
        let leaving = self.front.drain.is_leaving();
        let due = now_ms >= self.saved_ms + SAVE_MS;
        if self.saving || !due && !leaving || *self.front.handed_over.borrow() {
            return;
        }
        self.saved_ms = now_ms;
        self.saving = true;
        let texts = self
            .partials
            .iter()
            .map(|(key, held)| (*key, Arc::clone(&held.0)))
            .collect();
        let (front, news) = (Arc::clone(&self.front), self.news.clone());
        tokio::spawn(async move {
            partial::save(&front, texts).await;
            // The runner ends with the process only.
            let _ = news.send(News::Saved);
        });
    }

    /// Waiting items of the steps that this front runs; asks for the data of those it lacks.
    fn contests(&mut self, now_ms: u64) -> Vec<Contest> {
        let front = Arc::clone(&self.front);
        let mut contests: Vec<Contest> = Vec::new();
        let mut missing = Vec::new();
        let mut too_late = Vec::new();
        {
            let index = front.index();
            let open = |step: &&Step| step.is_open() && front.runs(&step.head.model, now_ms);
            for step in index.ledger.steps().filter(open) {
                if !self.data.contains_key(&step.id) {
                    missing.push((step.id, Arc::clone(&step.head)));
                    continue;
                }
                let waiting = self.waiting_of(step, now_ms, &mut too_late);
                match contests
                    .iter_mut()
                    .find(|contest| contest.takes(&step.head))
                {
                    Some(contest) => contest.waiting.extend(waiting),
                    None => contests.push(Contest {
                        head: Arc::clone(&step.head),
                        waiting,
                    }),
                }
            }
        }
        for (step, head) in missing {
            self.ask_for_data(step, head);
        }
        for key in too_late {
            self.give_up(key, ErrorCause::GivenUp);
        }
        contests
    }

    fn waiting_of(&self, step: &Step, now_ms: u64, too_late: &mut Vec<Key>) -> Vec<Candidate> {
        let age_ms = now_ms - step.read_ms;
        let given_up_ms = step.head.retention_ms + GIVE_UP_SLACK_MS;
        let mut waiting = Vec::new();
        for (item, progress) in step.progress.iter().enumerate() {
            let key = (step.id, item as u32);
            if progress.listed || self.running.contains_key(&key) {
                continue;
            }
            if step.head.retention_ms > 0 && age_ms > given_up_ms {
                too_late.push(key);
            } else {
                waiting.push(self.candidate(step, key, given_up_ms.saturating_sub(age_ms)));
            }
        }
        waiting
    }

    fn candidate(&self, step: &Step, key: Key, left_ms: u64) -> Candidate {
        let head: &ItemHead = &step.head.items[key.1 as usize];
        let only_version = match step.head.single_version {
            true => self.begun_under(step, key),
            false => None,
        };
        let guess = match head.hint_tokens {
            0 => TOKENS_GUESS,
            hint => hint,
        };
        Candidate {
            key,
            head: Arc::clone(&step.head),
            left_ms,
            waiting: Waiting {
                step_rank: step.id.0,
                tokens_left: guess,
                min_version: step.head.min_version,
                only_version,
                prompt: step.id.0 << 16 | u64::from(head.group),
                avoid: None,
            },
        }
    }

    /// Version under which the text of an item began, here or as it is saved; none if what is
    /// saved is of no use.
    fn begun_under(&self, step: &Step, key: Key) -> Option<u64> {
        if let Some((partial, _)) = self.partials.get(&key) {
            let partial = locked(partial);
            if partial.discarded || !partial.versions.is_empty() {
                return partial.versions.first().copied();
            }
        }
        step.pieces(key.1).last()?.versions.first().copied()
    }

    fn ask_for_data(&mut self, step: StepId, head: Arc<StepHead>) {
        if !self.asked.insert(step) {
            return;
        }
        let (front, news) = (Arc::clone(&self.front), self.news.clone());
        tokio::spawn(async move {
            let answer = match read_data(&front, &head).await {
                Some(data) => News::Data(step, data),
                None => {
                    tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
                    News::NoData(step)
                }
            };
            // The runner ends with the process only.
            let _ = news.send(answer);
        });
    }

    /// Places waiting items and moves running ones away from slow replicas.
    fn start(&mut self, route: &Route, contest: Contest, now_ms: u64) {
        let Contest {
            head,
            waiting: items,
        } = contest;
        let table = self.front.replicas.load_full();
        let services = route.shares.iter().filter(|share| share.weight > 0);
        let members: Vec<Member> = services
            .flat_map(|share| table.of(&share.service))
            .filter(|member| !member.replica.draining)
            .cloned()
            .collect();
        let mut engines = self.engines_for(&members, &head.model, now_ms);
        let waiting: Vec<Waiting> = items
            .iter()
            .map(|item| {
                let broke_at = self.partials.get(&item.key).and_then(|(_, at)| at.as_ref());
                let avoid = broke_at.and_then(|broke_at| {
                    members
                        .iter()
                        .position(|member| member.replica.id == *broke_at)
                });
                let mut waiting = Waiting {
                    avoid,
                    ..item.waiting.clone()
                };
                if lost_its_version(&waiting, &engines) {
                    self.begin_anew(item.key);
                    waiting.only_version = None;
                }
                waiting
            })
            .collect();
        for Placed { item, engine } in place(&waiting, &mut engines) {
            self.start_one(&items[item], &members[engine]);
        }
        self.move_runs(&head.model, &members, &mut engines, now_ms);
        for (member, engine) in members.iter().zip(engines) {
            if let Some(state) = self.engines.get_mut(&member.replica.id) {
                state
                    .prompts
                    .insert(head.model.as_str().into(), (engine.version, engine.prompts));
            }
        }
    }

    /// Throws away what there is of a text: it has to be made by one version, and no replica
    /// has the one that began it.
    fn begin_anew(&mut self, key: Key) {
        let (step, item) = (key.0.0, key.1);
        log::info!(event = "text-begun-anew", step, item; "");
        let held = self.partials.entry(key).or_default();
        locked(&held.0).discard();
    }

    fn start_one(&mut self, item: &Candidate, member: &Member) {
        let (step, number) = item.key;
        let Some(data) = self
            .data
            .get(&step)
            .and_then(|data| data.get(number as usize))
            .cloned()
        else {
            return;
        };
        let replica = Arc::clone(&member.replica.id);
        let admission = self.admission(&replica, &item.head.model);
        admission.tried(now_ms());
        let state = self
            .engines
            .entry(Arc::clone(&replica))
            .or_insert_with(EngineState::new);
        state.running.fetch_add(1, Ordering::Relaxed);
        let place = Place(Arc::clone(&state.running));
        let held = self.partials.entry(item.key).or_default();
        held.1 = None;
        let partial = Arc::clone(&held.0);
        let saved = self
            .front
            .index()
            .ledger
            .get(step)
            .map(|step| step.pieces(number).to_vec());
        let spec = RunSpec {
            id: item.head.items[number as usize].id.clone(),
            host: item.head.host.clone(),
            data,
            member: member.clone(),
            min_version: item.head.min_version,
            single_version: item.head.single_version,
            left_ms: item.left_ms,
            pace: Arc::clone(&state.pace),
            admission,
            stop: Arc::new(Notify::new()),
            heard_ms: Arc::new(AtomicU64::new(now_ms())),
        };
        let at = RunningAt {
            replica: Arc::clone(&replica),
            stop: Arc::clone(&spec.stop),
            stopping: None,
            min_version: item.head.min_version,
            single_version: item.head.single_version,
            model: item.head.model.as_str().into(),
            heard_ms: Arc::clone(&spec.heard_ms),
        };
        log::debug!(
            event = "item-started", id = spec.id, step = step.0, item = number,
            replica = &*replica, from_event = locked(&partial).last_event; ""
        );
        let (key, news) = (item.key, self.news.clone());
        let front = Arc::clone(&self.front);
        let task = tokio::spawn(async move {
            take_up(&front, &partial, &saved.unwrap_or_default()).await;
            let end = run_item::run(&spec, &partial).await;
            drop(place);
            // The runner ends with the process only.
            let _ = news.send(News::Ran(key, replica, end));
        });
        self.running.insert(
            key,
            Running {
                abort: task.abort_handle(),
                at: Some(at),
                _working: self.front.drain.progress().enter(),
            },
        );
    }
}

/// Goes on from what another process saved, where this one has nothing of the text.
async fn take_up(front: &Front, partial: &SharedPartial, saved: &[SavedPiece]) {
    let begun = {
        let partial = locked(partial);
        partial.discarded || partial.last_event > 0
    };
    if saved.is_empty() || begun {
        return;
    }
    match partial::restore(front, saved).await {
        Ok(restored) => *locked(partial) = restored,
        Err(error) => log::info!(event = "pieces-not-read", error:% = error; ""),
    }
}
