//! What is done to a connection, and why one is closed or rejected.

/// Why a connection is closed or not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DisconnectReason {
    /// No greeting started in time.
    GreetingTimeout,
    /// A frame was not complete in time.
    FrameTimeout,
    /// A ping was not answered in time.
    KeepaliveTimeout,
    /// The connection was idle and its place was needed for another one.
    Evicted,
    /// All connections are in use and none can be evicted.
    ConnectionLimit,
    /// The tenant has as many connections as one may have.
    TenantLimit,
    /// The client name has as many connections as one may have.
    NameLimit,
}

impl DisconnectReason {
    /// All reasons, in the order in which status and metrics list them.
    pub const ALL: [Self; 7] = [
        Self::GreetingTimeout,
        Self::FrameTimeout,
        Self::KeepaliveTimeout,
        Self::Evicted,
        Self::ConnectionLimit,
        Self::TenantLimit,
        Self::NameLimit,
    ];

    /// The message that is sent to the client before the connection is closed. It is part of the protocol.
    pub fn message(self) -> &'static str {
        match self {
            Self::GreetingTimeout => "no greeting came in time",
            Self::FrameTimeout => "a frame was not whole in time",
            Self::KeepaliveTimeout => "no sign of life came in time",
            Self::Evicted => "room was needed and this connection was idle; come again later",
            Self::ConnectionLimit => "all connections are taken; come again later",
            Self::TenantLimit => "this tenant has all the connections that one tenant may have",
            Self::NameLimit => "this name has all the connections that one name may have",
        }
    }

    /// The key of this reason in status and metrics.
    pub fn metric_key(self) -> &'static str {
        match self {
            Self::GreetingTimeout => "no-greeting",
            Self::FrameTimeout => "slow-frame",
            Self::KeepaliveTimeout => "silent",
            Self::Evicted => "made-room",
            Self::ConnectionLimit => "full",
            Self::TenantLimit => "tenant-full",
            Self::NameLimit => "name-full",
        }
    }
}

/// What the caller has to do to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a ping; any input counts as the answer.
    Ping,
    /// Close the connection; it is no longer counted.
    Disconnect(DisconnectReason),
}
