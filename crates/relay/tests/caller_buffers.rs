//! A slow caller is bounded in memory and in the time it holds a server.

use BufferStep::CutOff;
use BufferStep::Drain;
use BufferStep::LetGo;
use BufferStep::Read;
use BufferStep::Wait;
use fulmargate_relay::BufferLimits;
use fulmargate_relay::BufferStep;
use fulmargate_relay::CallerBuffer;

const LIMITS: BufferLimits =
    BufferLimits { max_bytes: 100, max_held_ms: 1000, forgiven_percent: 10, drain_ms: 500 };

enum Act {
    Add(usize),
    Take(usize),
    Close,
    Nothing,
}

use Act::Add;
use Act::Close;
use Act::Nothing;
use Act::Take;

struct BufferCase {
    name: &'static str,
    /// When, what happens, and the step after it.
    acts: Vec<(u64, Act, BufferStep)>,
    /// When to ask again at the end.
    wake_at: Option<u64>,
}

fn check(case: &BufferCase) {
    let mut buffer = CallerBuffer::new(LIMITS, 0);
    for (now, act, step) in &case.acts {
        match act {
            Add(bytes) => buffer.add(*bytes, *now),
            Take(bytes) => buffer.take(*bytes, *now),
            Close => buffer.close_server(*now),
            Nothing => {}
        }
        assert_eq!(buffer.step(*now), *step, "{} at {now}", case.name);
    }
    assert_eq!(buffer.wake_at(), case.wake_at, "{}", case.name);
}

#[test]
fn a_caller_is_waited_for_within_bounds() {
    #[rustfmt::skip]
    let cases = [
        ("keeps up", vec![(1, Add(99), Read), (2, Take(99), Read), (9, Add(99), Read)], None),
        ("full", vec![(5, Add(100), Wait)], Some(1005)),
        ("stays full until half is taken", vec![(5, Add(120), Wait), (6, Take(69), Wait), (7, Take(1), Read)], None),
        ("stopped", vec![(5, Add(100), Wait), (1004, Nothing, Wait), (1005, Nothing, LetGo)], Some(1005)),
        ("taken too late", vec![(5, Add(100), Wait), (1005, Take(100), LetGo)], Some(1005)),
        ("drains", vec![(5, Add(100), Wait), (1005, Close, Drain), (1504, Take(10), Drain), (1505, Nothing, CutOff)], Some(1505)),
        ("waits add up", vec![(0, Add(100), Wait), (900, Take(100), Read), (900, Add(100), Wait)], Some(1000)),
        ("keeping up is credited", vec![(0, Add(100), Wait), (900, Take(100), Read), (4900, Add(100), Wait)], Some(5400)),
        ("credit is bounded", vec![(99_000, Add(100), Wait)], Some(100_000)),
    ];
    for (name, acts, wake_at) in cases {
        check(&BufferCase { name, acts, wake_at });
    }
}

/// Nobody sees an error, yet an engine's batch slot is taken for hours: a caller reads half of the
/// buffer each second, just enough that no single wait is long. The waits are added up.
#[test]
fn a_trickling_caller_does_not_hold_a_server() {
    let mut buffer = CallerBuffer::new(LIMITS, 0);
    let mut held = 0;
    for now in (0..60_000).step_by(300) {
        if buffer.step(now) == LetGo {
            break;
        }
        buffer.add(100 - buffer.bytes().min(100), now);
        held += 300;
        buffer.take(60, now + 290);
    }
    assert_eq!(buffer.step(60_000), LetGo);
    assert!(held <= 1500, "{held} ms");
}
