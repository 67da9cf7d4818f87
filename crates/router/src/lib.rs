//! The router daemon: one process an entry host.
