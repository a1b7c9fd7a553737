//! Requests of Z39.50 sessions and their responses.

use super::{Client, Context, Downstream, ProtocolState};
use crate::frontends::catalogue::apdu::{Apdu, CloseReason};
use crate::frontends::catalogue::ber;
use crate::frontends::catalogue::session::{Reply, Session};
use crate::net::ConnId;

impl Downstream {
    pub(super) fn process_z3950(&mut self, conn: ConnId, context: &mut Context) -> bool {
        let Some(Client { protocol: ProtocolState::Z3950(session), peer, .. }) = self.clients.get_mut(&conn)
        else {
            return false;
        };
        let data = context.net.data(conn);
        let read =
            ber::size(data).and_then(|s| s.map(|s| Apdu::decode(&data[..s]).map(|a| (s, a))).transpose());
        let (size, apdu) = match read {
            Ok(None) => return false,
            Ok(Some(read)) => read,
            Err(e) => {
                tracing::warn!("client {peer} closed: {e}");
                let closing_message = Session::closing_message(CloseReason::ProtocolError, &e.to_string());
                let closing_message = session.is_open().then_some(closing_message);
                self.close_lingering(conn, closing_message, context);
                return false;
            }
        };
        context.net.consume(conn, size);
        match session.handle_request(apdu, self.not_ready, context.now, &self.settings) {
            Reply::Send(message) => self.send(conn, &message, context),
            Reply::SendAndClose(message) => {
                self.send_and_close(conn, Some(message), context);
                false
            }
            Reply::Close => {
                self.send_and_close(conn, None, context);
                false
            }
            Reply::Run(job) => {
                self.submit(conn, job, context);
                true
            }
        }
    }

    pub(super) fn respond_z3950(&mut self, conn: ConnId, message: Option<Vec<u8>>, context: &mut Context) {
        let Some(message) = message else { return };
        if self.send(conn, &message, context) && self.closing {
            self.send_and_close(
                conn,
                Some(Session::closing_message(CloseReason::Shutdown, "this broker ends")),
                context,
            );
        }
    }
}
