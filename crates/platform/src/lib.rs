//! Clients of the platform's log, weight store and host list.
