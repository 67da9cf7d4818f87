//! A process's own JSON settings, checked on load.
