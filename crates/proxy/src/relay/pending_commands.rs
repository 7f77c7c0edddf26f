//! The engine's commands to a relayed connection that are not carried out yet.

use std::future::pending;

use tokio::sync::mpsc;
use tokio::time::Instant;
use violetwind_engine::ConnectionCommand;

use crate::limits::Limits;

/// What the engine has commanded, until the relay has done it.
#[derive(Debug, Default)]
pub(super) struct PendingCommands {
    /// Set once a move is commanded: from this time on, the move no longer waits for answers to the client's lines.
    pub(super) move_deadline: Option<Instant>,
    /// The move was commanded a second time: it is done at once.
    pub(super) move_now: bool,
    /// The connection is offered to the successor as soon as it is between lines.
    pub(super) handover_requested: bool,
    /// The engine has given the request up and sends no more commands.
    pub(super) given_up: bool,
}

impl PendingCommands {
    /// Waits for the next command and records it. Waits for ever once the request is given up.
    pub(super) async fn receive(
        &mut self,
        commands: &mut mpsc::Receiver<ConnectionCommand>,
        limits: &Limits,
    ) {
        if self.given_up {
            return pending().await;
        }
        match commands.recv().await {
            // The engine repeats the command when no time is left to wait.
            Some(ConnectionCommand::Move) if self.move_deadline.is_some() => self.move_now = true,
            Some(ConnectionCommand::Move) => {
                self.move_deadline = Some(Instant::now() + limits.move_timeout);
            }
            Some(ConnectionCommand::HandOver) => self.handover_requested = true,
            Some(ConnectionCommand::Refuse(_) | ConnectionCommand::Fail) | None => {
                self.given_up = true;
                self.move_deadline = Some(Instant::now());
            }
            // These commands are for a request whose connection is not up yet.
            Some(
                ConnectionCommand::Send { .. }
                | ConnectionCommand::Cancel
                | ConnectionCommand::Recall
                | ConnectionCommand::NotYet,
            ) => {}
        }
    }
}
