//! Proofs under failure: whole deployments as separate processes.
