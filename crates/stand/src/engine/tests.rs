//! Tests of the engine without sockets.
