//! The router's two listeners as callers and operators meet them: one router, one engine and one
//! replica of a plain service, on loopback.

mod bad_input;
mod body_crowds;
mod hang_ups;
mod operators;
mod raw_call;
mod router_bench;
