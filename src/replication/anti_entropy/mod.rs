//! Anti-entropy: reconciling two stores over a connection, one of which sends requests and the other only
//! responds.
//!
//! The initiator first finds where the stores differ, by the digests of branches and then of leaves. For the
//! leaves that differ it requests the peer's facts, joins them, and pushes what the peer lacks. Messages are
//! bounded, one request is in flight at a time, and a session has a budget: what remains after it is left to
//! the next session. A session that breaks off loses nothing, since the facts that were joined stay.
//!
//! - [`message`]: requests and responses, and facts in parts that fit them;
//! - [`responder`]: the stateless side;
//! - [`session`]: the initiator's state machine.

pub mod message;
pub mod responder;
pub mod session;

pub use message::{MAX_FACT_BYTES, SyncMessage, SyncPosition, encoded_size};
pub use responder::respond;
pub use session::SyncSession;

/// A message that the protocol does not permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnexpectedMessage {
    /// It is not the response that the session awaits, or no request.
    #[error("a message that is not expected in this state")]
    OutOfTurn,
    /// A request asks for more branches or leaves than one message may.
    #[error("a request for more than one message may ask for")]
    TooManyRequested,
    /// Digests are not as many as a branch has leaves, or name a branch that does not exist.
    #[error("digests that no tree has")]
    InvalidDigests,
    /// A response stops at a leaf that was not requested, or without any fact, and would go on for ever.
    #[error("a position at which no response stops")]
    InvalidPosition,
}
