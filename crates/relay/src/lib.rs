//! Streams from a backend server to a caller: order, resumption, cancellation.
