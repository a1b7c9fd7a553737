//! The interface between the event loop and a frontend, which speaks the protocols of clients and nodes.

pub use super::frontend_context::FrontendContext;

use super::drain::DrainPhase;
use super::membership_driver::MembershipDriver;
use crate::api::Nanos;
use crate::engine::EngineAction;
use crate::net::{NetEvent, PollLoop};

/// A frontend: the downstream connections of clients and the upstream connections of nodes, which are linked
/// only through the query engine.
pub trait Frontend {
    /// Data of the client's request that a query carries.
    type Query;
    /// The value of a part's response.
    type Value;

    /// Handles an event of one of the frontend's connections.
    fn on_event(&mut self, event: NetEvent, context: &mut FrontendContext<'_, Self::Query, Self::Value>);

    /// Runs the work that is due at the context's time. Called once in each iteration of the event loop.
    fn tick(&mut self, context: &mut FrontendContext<'_, Self::Query, Self::Value>);

    /// Carries out an action of the query engine.
    fn perform(
        &mut self,
        action: EngineAction<Self::Query, Self::Value>,
        context: &mut FrontendContext<'_, Self::Query, Self::Value>,
    );

    /// When [`Frontend::tick`] is next worth calling.
    fn next_deadline(&self) -> Option<Nanos>;

    /// Sets the result of this broker's health checks: whether it is ready for clients.
    fn set_ready(&mut self, ready: bool);

    /// Sets the drain phase, which determines how clients are treated.
    fn set_drain_phase(&mut self, phase: DrainPhase);

    /// Reloads the configuration. If it can't be used, the frontend logs the error and keeps
    /// the current one.
    fn reload(&mut self, context: &mut FrontendContext<'_, Self::Query, Self::Value>);

    /// Closes the connections of clients that have no response pending.
    fn close_idle(&mut self, context: &mut FrontendContext<'_, Self::Query, Self::Value>);

    /// The owners under which the frontend's listeners are registered with the poll loop.
    fn listeners(&self) -> &[u8];

    /// Whether no client is connected.
    fn is_empty(&self) -> bool;

    /// Names of the query classes, in the order of the settings.
    fn class_names(&self) -> Vec<String>;

    /// The nodes that parts can be sent to.
    fn membership(&self) -> &MembershipDriver;

    /// The nodes that parts can be sent to.
    fn membership_mut(&mut self) -> &mut MembershipDriver;

    /// Limits the descriptors of clients and nodes together. Connections that are open already are not
    /// closed.
    fn limit_descriptors(&mut self, descriptors: usize, net: &mut PollLoop);

    /// Ids of open queries, which must not be accepted a second time.
    fn open_ids(&self) -> Vec<String>;

    /// Replaces the ids of the queries that are open at the other processes at this address; they must not be
    /// accepted here.
    fn set_ids_open_at_peers(&mut self, ids: Vec<String>, now: Nanos);
}
