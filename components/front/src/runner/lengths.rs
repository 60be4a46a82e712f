//! What the runner learns about the lengths of texts.

use ::lengths::{EventsLeft, LengthModel, LengthSnapshot};

use super::*;

/// Lengths of a model's texts.
struct KnownLengths {
    tokens_per_event: u32,
    lengths: LengthModel,
    /// Whether this front has recorded a text.
    has_recorded: bool,
}

/// Lengths of texts, by name of the model.
#[derive(Default)]
pub(super) struct TextLengths(HashMap<Arc<str>, KnownLengths>);

impl TextLengths {
    /// Prepares the model of a service's texts. Texts of models that were not prepared are not
    /// recorded.
    pub(super) fn prepare(&mut self, model: &Arc<str>, tokens_per_event: u32) {
        let known = self.0.get(model);
        if known.is_none_or(|known| known.tokens_per_event != tokens_per_event) {
            let lengths = LengthModel::new(tokens_per_event);
            self.replace(Arc::clone(model), tokens_per_event, lengths);
        }
    }

    /// Continues from the lengths that another front observed; false if this front has recorded
    /// texts of the model itself.
    pub(super) fn restore(
        &mut self,
        model: &str,
        tokens_per_event: u32,
        lengths: LengthModel,
    ) -> bool {
        if self.0.get(model).is_some_and(|known| known.has_recorded) {
            return false;
        }
        self.replace(model.into(), tokens_per_event, lengths);
        true
    }

    fn replace(&mut self, model: Arc<str>, tokens_per_event: u32, lengths: LengthModel) {
        let known = KnownLengths {
            tokens_per_event,
            lengths,
            has_recorded: false,
        };
        self.0.insert(model, known);
    }

    /// Snapshots of the lengths of models whose events have this number of tokens.
    pub(super) fn snapshots(
        &self,
        tokens_per_event: u32,
    ) -> impl Iterator<Item = (String, LengthSnapshot)> {
        let known = self.0.iter();
        known
            .filter(move |(_, known)| known.tokens_per_event == tokens_per_event)
            .map(|(model, known)| (model.to_string(), known.lengths.snapshot()))
    }

    /// Records a complete text.
    pub(super) fn record_complete(&mut self, head: &StepHead, item: u32, events: u64) {
        if let Some(known) = self.0.get_mut(head.model.as_str()) {
            let hint_tokens = head.items[item as usize].hint_tokens;
            known.lengths.record_complete(hint_tokens, events);
            known.has_recorded = true;
        }
    }

    /// Records a text that was dropped before its end.
    pub(super) fn record_censored(&mut self, head: &StepHead, item: u32, events: u64) {
        if let Some(known) = self.0.get_mut(head.model.as_str()) {
            let hint_tokens = head.items[item as usize].hint_tokens;
            known.lengths.record_censored(hint_tokens, events);
            known.has_recorded = true;
        }
    }

    /// Events until a text is complete; `None` if its model was not prepared.
    pub(super) fn events_left(
        &self,
        model: &str,
        hint_tokens: u32,
        generated: u64,
    ) -> Option<EventsLeft> {
        let known = self.0.get(model)?;
        Some(known.lengths.events_left(hint_tokens, generated))
    }
}
