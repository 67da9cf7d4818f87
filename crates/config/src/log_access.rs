//! How the keeper reaches the `config` stream.

use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_names::LogOffset;
use fulmargate_platform::LogClient;
use fulmargate_platform::LogError;
use fulmargate_platform::LogPage;
use futures_util::future::LocalBoxFuture;

use crate::CONFIG_STREAM;

/// Appends a record with this id and data.
pub type AppendCall =
    Rc<dyn Fn(Arc<str>, Arc<str>) -> LocalBoxFuture<'static, Result<LogOffset, LogError>>>;

/// Reads up to this many records from an offset on, waiting up to the given time for the first.
pub type ReadCall =
    Rc<dyn Fn(LogOffset, usize, Duration) -> LocalBoxFuture<'static, Result<LogPage, LogError>>>;

/// The two calls on the stream that the keeper makes; tests put their own in their place.
#[derive(Clone)]
pub struct LogAccess {
    /// Tries once to append.
    pub append: AppendCall,
    /// Tries once to read.
    pub read: ReadCall,
}

impl LogAccess {
    /// The stream in the platform's log.
    pub fn of_client(client: &LogClient) -> LogAccess {
        let appender = client.clone();
        let reader = client.clone();
        LogAccess {
            append: Rc::new(move |id, data| {
                let client = appender.clone();
                Box::pin(async move { client.append(CONFIG_STREAM, &id, &data).await })
            }),
            read: Rc::new(move |from, max, wait| {
                let client = reader.clone();
                Box::pin(async move { client.read(CONFIG_STREAM, from, max, wait).await })
            }),
        }
    }
}

impl fmt::Debug for LogAccess {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LogAccess")
    }
}
