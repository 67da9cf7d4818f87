//! Draws how a server frames and ends its responses.

use std::time::Duration;

use fulmargate_consortium_stand::ECHO_EVENTS;
use fulmargate_consortium_stand::ResponseShape;
use fulmargate_consortium_stand::ShapeContent;
use fulmargate_consortium_stand::ShapeEnd;
use fulmargate_consortium_stand::ShapeFraming;
use rand::Rng;
use rand::rngs::StdRng;

/// Pause between the events of a shaped stream, in which a kill may fall.
pub(crate) const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// A way to frame and end a response. Without framing, an orderly close inside a plain body or between two events
/// looks like its end to any caller, and is left out.
pub(crate) fn drawn_shape(rng: &mut StdRng, is_plain: bool) -> ResponseShape {
    let framings = [
        ShapeFraming::Length,
        ShapeFraming::Chunked,
        ShapeFraming::UntilClose,
        ShapeFraming::Http10,
    ];
    let framing = framings[rng.random_range(0..framings.len())];
    let is_framed = matches!(framing, ShapeFraming::Length | ShapeFraming::Chunked);
    let sent = rng.random_range(0..ECHO_EVENTS);
    let (inside, between) =
        (ShapeContent::CutInsideEvent(sent), ShapeContent::CutBetweenEvents(sent));
    let (content, end) = match rng.random_range(0..5) {
        0 => (ShapeContent::Whole, ShapeEnd::Framed),
        1 if is_framed => (between, ShapeEnd::Closed),
        2 if !is_plain => (inside, ShapeEnd::Framed),
        3 if !is_plain || is_framed => (inside, ShapeEnd::Closed),
        4 => (inside, ShapeEnd::Reset),
        _ => (between, ShapeEnd::Reset),
    };
    let mut shape = ResponseShape::whole(framing).ending(content, end);
    shape.pause = EVENT_PAUSE;
    shape
}
