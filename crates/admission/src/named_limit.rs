//! Rate limit that a backend server names in a response.

/// The part of a response in which a server may name the rate of requests that it accepts from all
/// routers together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// The response names no limit.
    #[default]
    Absent,
    /// Requests per second; finite and not negative.
    PerSecond(f64),
    /// The response names a limit that cannot be read.
    Unreadable,
}

/// Longest text that is parsed as a limit, in bytes.
const MAX_TEXT_BYTES: usize = 32;

impl NamedLimit {
    /// Parses a decimal number of requests per second.
    pub fn parse(text: &str) -> NamedLimit {
        if MAX_TEXT_BYTES < text.len() {
            return NamedLimit::Unreadable;
        }
        match text.trim().parse::<f64>() {
            Ok(rate) if rate.is_finite() && 0.0 <= rate => NamedLimit::PerSecond(rate),
            _ => NamedLimit::Unreadable,
        }
    }
}
