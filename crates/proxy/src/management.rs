//! Listener for operators' calls: each connection carries one command line and one answer line. This module
//! handles the sockets; `violetwind_service` parses the commands and `operator_service` executes them.

use std::rc::Rc;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use tracing::info;
use violetwind_net::try_read;
use violetwind_service::CommandDecoder;
use violetwind_service::command::{CommandError, OperatorCommand};

use crate::acceptor::ClientConnection;
use crate::limits::Limits;
use crate::log_throttle::LogThrottle;
use crate::operator_service::OperatorService;
use crate::pending_slots::{PendingSlot, PendingSlots};
use crate::ring_buffer::RingBuffer;

/// Accepts operators' connections while the process runs. They have slots of their own. With no slot free, the oldest
/// connection that has not sent its whole line is closed, so that silent connections don't block others.
pub async fn accept_callers(
    listener: TcpListener,
    limits: Rc<Limits>,
    service: Rc<OperatorService>,
) {
    let slots = PendingSlots::new(&limits, limits.max_callers);
    let log_throttle = Rc::new(LogThrottle::new(limits.max_log_lines, limits.log_window));
    loop {
        let slot = slots.acquire().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                slot.allow_eviction();
                let call = handle_connection(
                    stream,
                    slot,
                    limits.clone(),
                    service.clone(),
                    log_throttle.clone(),
                );
                tokio::task::spawn_local(call);
            }
            Err(error) => {
                if let Some(left_out) = log_throttle.try_acquire() {
                    info!(%error, left_out, "accepting an operator's connection failed");
                }
                sleep(limits.accept_retry_delay).await;
            }
        }
    }
}

async fn handle_connection(
    stream: TcpStream,
    slot: PendingSlot,
    limits: Rc<Limits>,
    service: Rc<OperatorService>,
    log_throttle: Rc<LogThrottle>,
) {
    let eviction = slot.eviction_signal();
    let call = tokio::select! {
        biased;
        call = timeout(limits.call_read_timeout, read_command(&stream, &limits)) => call,
        () = eviction.notified() => return,
    };
    let call = match call {
        Ok(Some(call)) => call,
        // An incomplete command is not executed.
        Ok(None) => return,
        Err(_) => Err("no whole line came in time".to_string()),
    };
    // From here on the call gets its answer, even when other connections need a slot.
    slot.forbid_eviction();
    let line = match call {
        Ok(call) => service.handle_call(call).await,
        Err(fault) => {
            if let Some(left_out) = log_throttle.try_acquire() {
                info!(%fault, left_out, "an operator's call is invalid");
            }
            format!("400 {fault}")
        }
    };
    let client = ClientConnection {
        stream,
        ring: RingBuffer::new(limits.ring_buffer_bytes),
        arrived: Instant::now(),
        pending_slot: Some(slot),
    };
    client.answer_and_close(&line, &limits).await;
}

/// Reads and parses a command line. Returns `None` if the connection ends before the end of the line.
async fn read_command(
    stream: &TcpStream,
    limits: &Limits,
) -> Option<Result<OperatorCommand, String>> {
    let mut decoder = CommandDecoder::default();
    let mut buffer = [0; 256];
    loop {
        stream.readable().await.ok()?;
        let received = match try_read(stream, &mut buffer) {
            Ok(Some(0)) | Err(_) => return None,
            Ok(Some(received)) => received,
            Ok(None) => continue,
        };
        if let Some(call) = decoder.feed(&buffer[..received], &limits.service) {
            return Some(call.map_err(|fault: CommandError| fault.to_string()));
        }
    }
}
