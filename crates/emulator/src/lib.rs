//! Plays load patterns on the decisions of `fulmargate-dispatch`, on virtual time and without sockets.
//!
//! Engines, callers and the words between routers are modelled; routers call the very code that the
//! daemon calls. A day of 34 seconds plays in a second or two, and the same seed plays the same day.
//! `docs/design/emulator.md` says what the model leaves out and how far it agrees with the users' bench.

mod call_kind;
mod caller_model;
mod engine_model;
mod event_queue;
mod figure_sheet;
mod fleet_spec;
mod load_pattern;
mod part_cache;
mod play;
mod router_model;

pub use call_kind::CallKind;
pub use figure_sheet::FigureSheet;
pub use figure_sheet::KindFigures;
pub use fleet_spec::FleetSpec;
pub use load_pattern::LoadPattern;
pub use play::play;
