//! Names shared as immutable strings.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Takes the text as it is.
            pub fn new(text: &str) -> $name {
                $name(Arc::from(text))
            }

            /// The text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> $name {
                $name::new(text)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }
    };
}

name_type! {
    /// A team: who calls, and whose cached prompts are its own.
    TeamName
}
name_type! {
    /// A backend server: a model engine or a replica of a plain service.
    ServerName
}
name_type! {
    /// An entry host: where one router process runs.
    HostName
}
name_type! {
    /// An availability zone.
    ZoneName
}
name_type! {
    /// A model, as callers ask for it.
    ModelName
}
name_type! {
    /// An adapter loaded beside a model.
    AdapterName
}
name_type! {
    /// A plain service, as callers ask for it.
    ServiceName
}
name_type! {
    /// Version of the software that a backend server runs, without any order.
    SoftwareVersion
}
name_type! {
    /// A class of traffic, such as `urgent` or `batch`.
    ClassName
}
name_type! {
    /// One request of a caller; attempts at backend servers append `.N` to it.
    RequestId
}
