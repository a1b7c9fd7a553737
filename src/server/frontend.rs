//! The interface between the event loop and a frontend, which speaks the protocols of clients and servers.

pub use super::frontend_context::FrontendContext;

use super::drain::DrainPhase;
use super::membership_driver::MembershipDriver;
use crate::api::Nanos;
use crate::engine::EngineAction;
use crate::net::{NetEvent, PollLoop};

/// A front: a client side and a server side that meet only in the engine.
pub trait Frontend {
    /// What a query carries.
    type Query;
    /// The value of a part.
    type Value;

    /// Something happened on a socket of the front's.
    fn on_event(&mut self, event: NetEvent, context: &mut FrontendContext<Self::Query, Self::Value>);
    /// Time has gone by.
    fn tick(&mut self, context: &mut FrontendContext<Self::Query, Self::Value>);
    /// The exchange wants something done.
    fn perform(
        &mut self,
        action: EngineAction<Self::Query, Self::Value>,
        context: &mut FrontendContext<Self::Query, Self::Value>,
    );
    /// When `tick` is next worth calling.
    fn next_deadline(&self) -> Option<Nanos>;
    /// Whether it is ready for clients, for those who ask that.
    fn set_ready(&mut self, ready: bool);
    /// How clients are to be treated from now on.
    fn set_drain_phase(&mut self, phase: DrainPhase);
    /// The word to read its configuration again has come. Whatever it finds, it goes on serving.
    fn reload(&mut self, context: &mut FrontendContext<Self::Query, Self::Value>);
    /// Clients are sent away: whoever waits for nothing is to be closed.
    fn close_idle(&mut self, context: &mut FrontendContext<Self::Query, Self::Value>);
    /// Owners of the listeners.
    fn listeners(&self) -> &[u8];
    /// No client is connected.
    fn is_empty(&self) -> bool;
    /// The classes' names in the order of the settings.
    fn class_names(&self) -> Vec<String>;
    /// Who is there to take parts.
    fn membership(&self) -> &MembershipDriver;
    /// See `membership`.
    fn membership_mut(&mut self) -> &mut MembershipDriver;
    /// From now on it keeps to so many descriptors.
    fn limit_descriptors(&mut self, descriptors: usize, net: &mut PollLoop);
    /// Ids of open queries that must not be taken twice.
    fn open_ids(&self) -> Vec<String>;
    /// Ids that another process has in use.
    fn reserve_ids(&mut self, ids: &[String], now: Nanos);
}
