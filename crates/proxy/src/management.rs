//! The operators' address: one line to a connection, one line back. What a call means is
//! `violetwind_service`'s to read and `service`'s to carry out; here are the sockets.

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

/// Accepts for good. Callers have places of their own: with none left the one that came longest ago and
/// has not said its line yet goes, so that those who say nothing keep nobody waiting.
pub async fn accept_callers(
    listener: TcpListener,
    limits: Rc<Limits>,
    service: Rc<OperatorService>,
) {
    let places = PendingSlots::new(&limits, limits.max_callers);
    let repeats = Rc::new(LogThrottle::new(limits.max_log_lines, limits.log_window));
    loop {
        let place = places.acquire().await;
        match listener.accept().await {
            Ok((stream, _)) => {
                place.allow_eviction();
                let call = answer(
                    stream,
                    place,
                    limits.clone(),
                    service.clone(),
                    repeats.clone(),
                );
                tokio::task::spawn_local(call);
            }
            Err(error) => {
                if let Some(left_out) = repeats.try_acquire() {
                    info!(%error, left_out, "accept of an operator's call");
                }
                sleep(limits.accept_retry_delay).await;
            }
        }
    }
}

async fn answer(
    stream: TcpStream,
    place: PendingSlot,
    limits: Rc<Limits>,
    service: Rc<OperatorService>,
    repeats: Rc<LogThrottle>,
) {
    let told_to_go = place.eviction_signal();
    let call = tokio::select! {
        biased;
        call = timeout(limits.call_read_timeout, read(&stream, &limits)) => call,
        () = told_to_go.notified() => return,
    };
    let call = match call {
        Ok(Some(call)) => call,
        // Half a call does nothing.
        Ok(None) => return,
        Err(_) => Err("no whole line came in time".to_string()),
    };
    // From here on it has its answer, whoever else comes.
    place.forbid_eviction();
    let line = match call {
        Ok(call) => service.handle_call(call).await,
        Err(fault) => {
            if let Some(left_out) = repeats.try_acquire() {
                info!(%fault, left_out, "an operator's call that makes no sense");
            }
            format!("400 {fault}")
        }
    };
    let client = ClientConnection {
        stream,
        ring: RingBuffer::new(limits.ring_buffer_bytes),
        arrived: Instant::now(),
        pending_slot: Some(place),
    };
    client.answer_and_close(&line, &limits).await;
}

/// A caller's line; none if it left before its end.
async fn read(stream: &TcpStream, limits: &Limits) -> Option<Result<OperatorCommand, String>> {
    let mut calls = CommandDecoder::default();
    let mut piece = [0; 256];
    loop {
        stream.readable().await.ok()?;
        let got = match try_read(stream, &mut piece) {
            Ok(Some(0)) | Err(_) => return None,
            Ok(Some(got)) => got,
            Ok(None) => continue,
        };
        if let Some(call) = calls.feed(&piece[..got], &limits.service) {
            return Some(call.map_err(|fault: CommandError| fault.to_string()));
        }
    }
}
