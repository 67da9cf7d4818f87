//! Membership and state exchange between routers.
