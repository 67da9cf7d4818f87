//! Prompts that wait at a router until an engine has room for them.

use std::time::Duration;

use tokio::time::Instant;

use crate::CallFacts;
use crate::ChoiceView;
use crate::PlacementRequest;
use crate::Placing;
use crate::ServerBook;
use crate::TakenEngine;
use crate::admission;
use crate::work_order::WorkOrder;

/// Prompts that find no room in one round before the round ends. Those behind them are not looked at:
/// a choice takes 10 to 40 us, and with 50 waiting a host would do little else.
const MOST_TRIES: usize = 6;

/// Stands for a prompt that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaitNumber(u64);

/// How waiting ended.
#[derive(Debug)]
pub enum WaitEnd {
    /// An engine has room.
    Taken(Box<TakenEngine>),
    /// No engine may serve the prompt any more.
    Nowhere,
    /// It has not run; its caller should come back after this time.
    Refused(Duration),
}

/// The line of one router.
///
/// What waits here goes to whichever engine has room first, in the order of [`WorkOrder`], and is not
/// lost with an engine. Before, an engine under order threw its queue back and the prompts waited anew
/// at the next one, until their callers left.
#[derive(Debug, Default)]
pub struct RequestQueue {
    waiting: Vec<WaitingPrompt>,
    next: u64,
}

#[derive(Debug)]
struct WaitingPrompt {
    number: WaitNumber,
    wish: PlacementRequest,
    /// Tokens that the best engine would have to read, as of the last try.
    read_tokens: f64,
}

impl RequestQueue {
    /// Nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Prompts that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a prompt may be placed before all that wait.
    pub fn goes_first(&self, call: &CallFacts) -> bool {
        self.waiting.is_empty() || admission::is_short(call)
    }

    /// A prompt waits from now on.
    pub fn enter(&mut self, wish: PlacementRequest) -> WaitNumber {
        let number = WaitNumber(self.next);
        self.next += 1;
        let read_tokens = f64::from(wish.call.prompt_tokens());
        self.waiting.push(WaitingPrompt { number, wish, read_tokens });
        number
    }

    /// Its caller has left.
    pub fn leave(&mut self, number: WaitNumber) {
        self.waiting.retain(|prompt| prompt.number != number);
    }

    /// Gives engines that have room to prompts in their order, and refuses what waits in vain.
    pub fn serve(
        &mut self,
        book: &mut ServerBook,
        view: ChoiceView<'_>,
    ) -> Vec<(WaitNumber, WaitEnd)> {
        self.sort(view.now);
        let mut ends = Vec::new();
        let mut tries = 0;
        self.waiting.retain_mut(|prompt| {
            if MOST_TRIES <= tries {
                return true;
            }
            match book.place(&prompt.wish, view) {
                Placing::Taken(taken) => ends.push((prompt.number, WaitEnd::Taken(taken))),
                Placing::Nowhere => ends.push((prompt.number, WaitEnd::Nowhere)),
                Placing::Wait(read_tokens) => {
                    prompt.read_tokens = read_tokens;
                    tries += 1;
                    return true;
                }
            }
            false
        });
        self.refuse(view.now, &mut ends);
        ends
    }

    fn sort(&mut self, now: Instant) {
        let tokens = self.waiting.iter().map(|prompt| f64::from(prompt.wish.call.prompt_tokens()));
        let mean = tokens.sum::<f64>() / self.waiting.len().max(1) as f64;
        let order = |prompt: &WaitingPrompt| {
            WorkOrder::of(&prompt.wish.call, prompt.read_tokens, mean, now)
        };
        self.waiting.sort_by(|a, b| order(a).compare(&order(b)));
    }

    fn refuse(&mut self, now: Instant, ends: &mut Vec<(WaitNumber, WaitEnd)>) {
        let is_timely = |prompt: &WaitingPrompt| !admission::is_late(&prompt.wish.call, now);
        let has_timely = self.waiting.iter().any(is_timely);
        self.waiting.retain(|prompt| {
            let Some(wait) = admission::refusal(&prompt.wish.call, has_timely, now) else {
                return true;
            };
            ends.push((prompt.number, WaitEnd::Refused(wait)));
            false
        });
    }
}
