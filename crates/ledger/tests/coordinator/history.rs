//! The ledger as a register of each key, and the histories that the checker judges.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use fulmargate_ledger::KeyHash;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::Specification;
use todc_utils::WGLChecker;

/// Names a claim: the claimer's incarnation, unique among all routers of a test, and its number.
pub(crate) type ClaimName = (u64, u64);

/// What one operation on a key found or did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum KeyOp {
    /// The claim won the key.
    Won(ClaimName),
    /// The claim's call ended with this answer; 0 is unknown.
    Ended(ClaimName, u64),
    /// The claim gave the key back.
    Released(ClaimName),
    /// A retry got this answer.
    Answered(u64),
    /// A retry got `busy`.
    Claimed,
    /// `not-run` was said of the key.
    Free,
}

/// What a key is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum KeyState {
    Untouched,
    Held(ClaimName),
    Released,
    Ended(u64),
}

/// The written specification: who may win, who may end, and what may be said when.
pub(crate) struct LedgerSpec;

impl Specification for LedgerSpec {
    type State = KeyState;
    type Operation = KeyOp;

    fn init() -> KeyState {
        KeyState::Untouched
    }

    fn apply(op: &KeyOp, state: &KeyState) -> (bool, KeyState) {
        let free = matches!(state, KeyState::Untouched | KeyState::Released);
        match op {
            KeyOp::Won(name) if free => (true, KeyState::Held(*name)),
            KeyOp::Ended(name, answer) if *state == KeyState::Held(*name) => {
                (true, KeyState::Ended(*answer))
            }
            KeyOp::Released(name) if *state == KeyState::Held(*name) => (true, KeyState::Released),
            KeyOp::Answered(answer) => (*state == KeyState::Ended(*answer), state.clone()),
            KeyOp::Claimed => (*state != KeyState::Untouched, state.clone()),
            KeyOp::Free => (free, state.clone()),
            KeyOp::Won(_) | KeyOp::Ended(..) | KeyOp::Released(_) => (false, state.clone()),
        }
    }
}

/// An operation with the steps at which it began and ended; one whose end nobody saw has the last step.
type TimedOp = (u64, u64, KeyOp);

/// The operations of a run by key.
#[derive(Clone, Default)]
pub(crate) struct Recorder {
    step: Rc<RefCell<u64>>,
    ops: Rc<RefCell<BTreeMap<KeyHash, Vec<TimedOp>>>>,
}

impl Recorder {
    /// The next step.
    pub(crate) fn step(&self) -> u64 {
        *self.step.borrow_mut() += 1;
        *self.step.borrow()
    }

    pub(crate) fn record(&self, key: KeyHash, began: u64, ended: u64, op: KeyOp) {
        self.ops.borrow_mut().entry(key).or_default().push((began, ended, op));
    }

    /// The steps at which the claim was requested and its win reported, if it was.
    pub(crate) fn told(&self, key: KeyHash, name: ClaimName) -> Option<u64> {
        let ops = self.ops.borrow();
        let won = ops.get(&key)?.iter().find(|(_, _, op)| *op == KeyOp::Won(name))?;
        Some(won.1)
    }

    /// The keys whose history cannot be put in one order.
    pub(crate) fn judge(&self) -> Vec<(KeyHash, Vec<TimedOp>)> {
        let ops = self.ops.borrow();
        ops.iter()
            .filter(|(_, ops)| !is_linearizable(ops))
            .map(|(key, ops)| (*key, ops.clone()))
            .collect()
    }
}

/// Each operation is a process of its own, since callers overlap as they like.
pub(crate) fn is_linearizable(ops: &[TimedOp]) -> bool {
    let mut actions = Vec::new();
    for (process, (began, ended, op)) in ops.iter().enumerate() {
        actions.push((*began, 0, process, Action::Call(op.clone())));
        actions.push((*ended, 1, process, Action::Response(op.clone())));
    }
    actions.sort_by_key(|(step, kind, process, _)| (*step, *kind, *process));
    let actions = actions.into_iter().map(|(_, _, process, action)| (process, action)).collect();
    WGLChecker::<LedgerSpec>::is_linearizable(History::from_actions(actions))
}

/// A history made by hand.
struct HistoryCase {
    name: &'static str,
    ops: Vec<TimedOp>,
    good: bool,
}

#[test]
fn the_checker_tells_good_histories_from_bad_ones() {
    use KeyOp::Answered;
    use KeyOp::Claimed;
    use KeyOp::Ended;
    use KeyOp::Free;
    use KeyOp::Released;
    use KeyOp::Won;
    let (a, b) = ((1, 1), (2, 1));
    let case = |name, good, ops| HistoryCase { name, ops, good };
    let cases = [
        case(
            "won, ended, answered",
            true,
            vec![(1, 2, Won(a)), (3, 4, Ended(a, 7)), (5, 6, Answered(7))],
        ),
        case(
            "won again after a release",
            true,
            vec![(1, 2, Won(a)), (3, 9, Released(a)), (4, 6, Won(b))],
        ),
        case("not-run while the claim was under way", true, vec![(1, 5, Won(a)), (2, 3, Free)]),
        case("two winners", false, vec![(1, 5, Won(a)), (2, 6, Won(b))]),
        case(
            "a winner before the release",
            false,
            vec![(1, 2, Won(a)), (3, 4, Won(b)), (5, 6, Released(a))],
        ),
        case(
            "a winner after the end",
            false,
            vec![(1, 2, Won(a)), (3, 4, Ended(a, 7)), (5, 6, Won(b))],
        ),
        case("not-run after the win", false, vec![(1, 2, Won(a)), (3, 4, Free)]),
        case(
            "another answer",
            false,
            vec![(1, 2, Won(a)), (3, 4, Ended(a, 7)), (5, 6, Answered(8))],
        ),
        case(
            "an answer before the end",
            false,
            vec![(1, 2, Won(a)), (3, 4, Answered(7)), (5, 6, Ended(a, 7))],
        ),
        case("another's end", false, vec![(1, 2, Won(a)), (3, 4, Ended(b, 7))]),
        case(
            "released and ended",
            false,
            vec![(1, 2, Won(a)), (3, 4, Released(a)), (5, 6, Ended(a, 7))],
        ),
        case("claimed by nobody", false, vec![(1, 2, Claimed), (3, 4, Won(a))]),
    ];
    for case in cases {
        assert_eq!(is_linearizable(&case.ops), case.good, "{}", case.name);
    }
}
