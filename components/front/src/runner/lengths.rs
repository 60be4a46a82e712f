//! What the runner learns about the lengths of texts.

use ::lengths::{EventsLeft, LengthModel};

use super::*;

/// Length models, by name of the model.
#[derive(Default)]
pub(super) struct TextLengths(HashMap<Arc<str>, (u32, LengthModel)>);

impl TextLengths {
    /// Prepares the model of a service's texts. Texts of models that were not prepared are not
    /// recorded.
    pub(super) fn prepare(&mut self, model: &Arc<str>, tokens_per_event: u32) {
        let is_known = self
            .0
            .get(model)
            .is_some_and(|(known, _)| *known == tokens_per_event);
        if !is_known {
            let new = (tokens_per_event, LengthModel::new(tokens_per_event));
            self.0.insert(Arc::clone(model), new);
        }
    }

    /// Records a complete text.
    pub(super) fn record_complete(&mut self, head: &StepHead, item: u32, events: u64) {
        if let Some((_, model)) = self.0.get_mut(head.model.as_str()) {
            model.record_complete(head.items[item as usize].hint_tokens, events);
        }
    }

    /// Records a text that was dropped before its end.
    pub(super) fn record_censored(&mut self, head: &StepHead, item: u32, events: u64) {
        if let Some((_, model)) = self.0.get_mut(head.model.as_str()) {
            model.record_censored(head.items[item as usize].hint_tokens, events);
        }
    }

    /// Events until a text is complete; `None` if its model was not prepared.
    pub(super) fn events_left(
        &self,
        model: &str,
        hint_tokens: u32,
        generated: u64,
    ) -> Option<EventsLeft> {
        let (_, model) = self.0.get(model)?;
        Some(model.events_left(hint_tokens, generated))
    }
}
