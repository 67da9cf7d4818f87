//! Draws faults of a seed.

use std::time::Duration;

use fulmargate_consortium_stand::LinkFault;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::StoreFault;
use rand::Rng;
use rand::rngs::StdRng;

use crate::LinkPlace;
use crate::RouterSignal;
use crate::SoakFault;

/// Draws single faults.
pub(crate) struct FaultSource {
    pub(crate) rng: StdRng,
    pub(crate) routers: usize,
    pub(crate) servers: usize,
}

impl FaultSource {
    /// Any fault, at any place.
    pub(crate) fn fault(&mut self) -> SoakFault {
        match self.rng.random_range(0..20) {
            0..=3 => SoakFault::Link(self.place(), self.link_fault()),
            4..=8 => SoakFault::Signal(self.router(), self.signal()),
            9 => SoakFault::KillAll,
            10 | 11 => SoakFault::Store(self.store_fault()),
            12 => SoakFault::ForgetHistory,
            13 | 14 => SoakFault::Server(self.server(), self.server_mode()),
            15 => SoakFault::ReplaceServer(self.server()),
            16 | 17 => SoakFault::AddRoute,
            18 => SoakFault::TakeKey,
            _ => SoakFault::NameWeights,
        }
    }

    /// The same kind of fault, at any place.
    pub(crate) fn alike(&mut self, fault: SoakFault) -> SoakFault {
        match fault {
            SoakFault::Link(..) => SoakFault::Link(self.place(), self.link_fault()),
            SoakFault::Signal(_, signal) => SoakFault::Signal(self.router(), signal),
            SoakFault::Store(_) => SoakFault::Store(self.store_fault()),
            SoakFault::Server(..) => SoakFault::Server(self.server(), self.server_mode()),
            SoakFault::ReplaceServer(_) => SoakFault::ReplaceServer(self.server()),
            other => other,
        }
    }

    fn router(&mut self) -> usize {
        self.rng.random_range(0..self.routers)
    }

    fn server(&mut self) -> usize {
        self.rng.random_range(0..self.servers)
    }

    fn place(&mut self) -> LinkPlace {
        match self.rng.random_range(0..3) {
            0 => LinkPlace::Callers(self.router()),
            1 => LinkPlace::Store(self.router()),
            _ => LinkPlace::Server(self.server()),
        }
    }

    fn link_fault(&mut self) -> LinkFault {
        match self.rng.random_range(0..5) {
            0 => LinkFault::Delay(Duration::from_millis(self.rng.random_range(20..400))),
            1 => LinkFault::Reset,
            2 => LinkFault::SilentThere,
            3 => LinkFault::SilentBack,
            _ => LinkFault::Silent,
        }
    }

    fn signal(&mut self) -> RouterSignal {
        match self.rng.random_range(0..4) {
            0 => RouterSignal::Pause,
            1 => RouterSignal::Kill,
            2 => RouterSignal::Terminate,
            _ => RouterSignal::HangUp,
        }
    }

    fn store_fault(&mut self) -> StoreFault {
        match self.rng.random_range(0..3) {
            0 => StoreFault::Silent,
            1 => StoreFault::Busy,
            _ => StoreFault::LosesAnswers,
        }
    }

    fn server_mode(&mut self) -> ServerMode {
        match self.rng.random_range(0..9) {
            0 => ServerMode::Refuse,
            1 => ServerMode::LoseAnswer,
            2 => ServerMode::Hang,
            3 => ServerMode::CrossAnswers,
            4 => ServerMode::Unsigned,
            5 => ServerMode::Fail,
            6 => ServerMode::FalseBusy,
            7 => ServerMode::CutAnswer,
            _ => ServerMode::CutEcho(self.rng.random_range(0..9)),
        }
    }
}
