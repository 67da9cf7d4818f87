//! Proofs under failure: a whole deployment as separate processes, which the rig kills, freezes,
//! stops and restarts while callers send. Each answer is checked whole; the stand-ins' own records
//! are the judge of what was done.

mod callers;
mod calls;
mod config;
mod crashing;
mod planned_stop;
mod process_fleet;
mod restarts;
mod rollout;
mod rollout_watch;
mod servers;
mod streams;
mod watched_load;
