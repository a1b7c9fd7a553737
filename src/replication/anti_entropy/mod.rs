//! Anti-entropy: reconciles two stores over a connection. The initiator sends requests, the responder only
//! responds.
//!
//! The initiator first compares the digests of branches, then those of the leaves of branches that differ.
//! For the leaves that differ it requests the peer's facts, joins them, and pushes the facts that the peer
//! lacks. Messages are bounded, one request is in flight at a time, and a session has a budget: differences
//! that remain when it is used up are left to the next session. An interrupted session loses nothing, since
//! the facts joined so far are kept.
//!
//! - [`message`]: requests and responses, and the splitting of facts into parts that fit them;
//! - [`responder`]: the stateless responding side;
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
    /// It is not the response that the session awaits; at the responder, it is not a request.
    #[error("message is not expected in this state")]
    OutOfTurn,
    /// A request lists more branches or leaves than the limits permit.
    #[error("request lists too many branches or leaves")]
    TooManyRequested,
    /// The number of digests is not the fan-out of the tree, or the index of a branch is out of range.
    #[error("digests do not match the shape of the tree")]
    InvalidDigests,
    /// A response stops at a leaf that was not requested, or carries no fact. Without this check the session
    /// might never end.
    #[error("response stops at an invalid position")]
    InvalidPosition,
}
