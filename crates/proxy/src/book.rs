//! Last stage: tells the driver how a connection ended, once and on every way out.

use tokio::sync::mpsc;
use violetwind_balancer::api::{Ended, Outcome, Report, RequestId, ServerId};

use crate::driver::Notice;

/// An entry in the driver's books, from the request until its end.
#[derive(Debug)]
pub struct Booking {
    id: RequestId,
    driver: mpsc::Sender<Notice>,
    closed: bool,
}

impl Booking {
    pub fn new(id: RequestId, driver: mpsc::Sender<Notice>) -> Self {
        Self {
            id,
            driver,
            closed: false,
        }
    }

    /// The end of an attempt, after which the module goes on.
    pub async fn attempt_ended(&self, server: ServerId, outcome: Outcome, report: Report) {
        self.tell_end(server, outcome, report, false).await;
    }

    /// The figure of a `LOAD` line.
    pub async fn load(&self, server: ServerId, figure: f64) {
        self.tell(Notice::Load(self.id, server, figure)).await;
    }

    /// The server leaves the client's lines without an answer.
    pub async fn silent(&self, server: ServerId) {
        self.tell(Notice::Silent(server)).await;
    }

    /// The connection ended from the server's side, or was moved.
    pub async fn ended(mut self, server: ServerId, (outcome, report): (Outcome, Report)) {
        self.closed = true;
        self.tell_end(server, outcome, report, true).await;
    }

    async fn tell_end(&self, server: ServerId, outcome: Outcome, report: Report, last: bool) {
        self.tell(Notice::Ended(Ended {
            id: self.id,
            server,
            outcome,
            last,
            report,
        }))
        .await;
    }

    /// The client left.
    pub async fn gone(mut self) {
        self.closed = true;
        self.tell(Notice::Gone(self.id)).await;
    }

    /// The module itself has given the final answer.
    pub fn answered(mut self) {
        self.closed = true;
    }

    pub async fn tell(&self, notice: Notice) {
        // Without a driver the process ends.
        let _ = self.driver.send(notice).await;
    }
}

impl Drop for Booking {
    fn drop(&mut self) {
        // A connection whose task ended on no known way must not stay in the books.
        if !self.closed {
            let _ = self.driver.try_send(Notice::Gone(self.id));
        }
    }
}
