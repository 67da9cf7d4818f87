//! The stand-ins over their sockets.

mod common;
mod engine;
mod plain_service;
mod platform;
