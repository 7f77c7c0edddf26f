//! All sizes, counts and times of the proxy. They are computed once at the start and passed to the modules.

use std::cell::Cell;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use violetwind_balancer::api::Seconds;

use crate::config::Config;

/// The limits of one process. Settings of the configuration and the operator's file determine some of them.
#[derive(Debug)]
pub struct Limits {
    /// The maximum length of a line that the proxy evaluates.
    pub max_line_bytes: usize,
    /// The size of the buffer of one direction of one connection. It holds the longest line with its line end.
    pub ring_buffer_bytes: usize,
    /// The number of consecutive reads of one direction, so that one busy connection can't delay the others.
    pub max_consecutive_reads: usize,
    /// Descriptors for requests (two each), for connections whose request is not admitted yet, and for probes. The
    /// rest is the reserve: the listener, discovery, the runtime's own descriptors and the standard streams. Clients
    /// may hold a third of all descriptors with their requests, so two thirds are for requests.
    pub request_descriptors: usize,
    pub descriptor_reserve: usize,
    pub max_pending_slots: usize,
    pub probe_descriptors: usize,
    /// The number of fields in one `OPEN` line.
    pub max_fields: usize,
    /// The longest wait that a client may state, in seconds. A client whose connection was up before the proxy started
    /// states 72 minutes.
    pub max_client_wait: Seconds,
    /// The number of log lines that clients can cause per `log_window`.
    pub max_log_lines: u32,
    pub log_window: Duration,
    /// The number of the engine's commands queued for one connection.
    pub command_queue_capacity: usize,
    /// The number of probes of one server that wait for an earlier probe to end.
    pub probe_queue_capacity: usize,
    /// The maximum size of an answer of discovery, and the maximum number of rows in a list.
    pub max_list_bytes: usize,
    pub max_list_rows: usize,

    /// The maximum plausible load of one connection, in microseconds of work per second.
    pub max_connection_load: f64,

    /// The number of connections that the operating system queues until they are accepted.
    pub backlog: u32,
    /// The delay after which a failed accept is retried.
    pub accept_retry_delay: Duration,
    /// From the accept of a connection until its first line is complete. The client has to get an answer within 3 s of
    /// connecting, and its connection may have waited in the listener's queue.
    pub first_line_timeout: Duration,
    /// The minimum of that time while other connections wait for a descriptor.
    pub min_first_line_timeout: Duration,
    /// The minimum interval between two lines of one connection before `OPEN`.
    pub min_line_interval: Duration,
    /// The maximum pause of a client between two lines before `OPEN`, and of a prober between two probes.
    pub idle_timeout: Duration,
    /// How long after the client's deadline the proxy still waits for the balancer's answer.
    pub answer_slack: Duration,
    /// The interval at which the proxy retries to resume a connection that was up before the start.
    pub resume_retry_interval: Duration,
    pub connect_timeout: Duration,
    /// The delay before the retry of a dial that failed because this machine lacks resources.
    pub dial_retry_interval: Duration,
    /// How long opening a listener is retried at the start while this machine lacks resources.
    pub listen_timeout: Duration,
    /// The timeout of a probe, from its start until its answer.
    pub probe_timeout: Duration,
    /// A server that sends no line within this time after a client's line counts as unresponsive.
    pub server_silence_timeout: Duration,
    /// How long a move waits for an outstanding answer or for the end of a line.
    pub move_timeout: Duration,
    /// TCP keepalive detects a client whose machine has vanished: the first probe is sent after `keepalive_idle`, and
    /// the connection is given up after three probes `keepalive_interval` apart.
    pub keepalive_idle: Duration,
    pub keepalive_interval: Duration,
    /// How long a closing connection waits for the other side to read the last lines.
    pub linger_timeout: Duration,
    /// The maximum number of bytes discarded during that time; the connection is closed if the client sends more.
    pub max_linger_bytes: usize,
    /// How long a connection with one direction closed may be idle on the other.
    pub half_close_timeout: Duration,

    pub discovery_connect_timeout: Duration,
    /// The minimum interval between two calls that returned nothing new.
    pub min_query_interval: Duration,
    /// How long discovery may hold a watch open, and how much longer it may take to answer. Each proxy of a fleet has
    /// a different wait, so that watches that stopped answering together are reopened one after the other, at the rate
    /// at which discovery answers them.
    pub watch_wait: Duration,
    pub watch_slack: Duration,
    /// The timeout of a call for the whole list, which discovery answers without waiting for a change.
    pub snapshot_timeout: Duration,
    /// The maximum delay of the first call of a proxy that has the list of its last run.
    pub max_initial_delay: Duration,
    /// The backoff between failed calls of discovery: the initial value, which is doubled up to the maximum. The
    /// initial value is the time that a service needing `CALL_COST` for each call takes to answer the whole fleet:
    /// proxies that start or fail together are spread over it. Otherwise their calls would keep the service busy with
    /// answers to calls that have already timed out.
    pub initial_backoff: Duration,
    pub max_backoff: Duration,
    /// The maximum backoff before the first answer from an address: the new address after a reload may be slow to
    /// start.
    pub max_unanswered_backoff: Duration,
    /// How long a list from discovery is awaited before the proxy counts as ready with the list of the last run, which
    /// the engine uses from the start.
    pub first_list_timeout: Duration,

    /// The minimum time from SIGTERM to the end of the process, for the last clients that connect.
    pub min_shutdown_time: Duration,
    /// The number of concurrent calls at the operators' address, which have descriptors of their own; how long a caller
    /// may take to send its line; and how long the answer may take, which is due within 1 s.
    pub max_callers: usize,
    pub call_read_timeout: Duration,
    pub call_answer_timeout: Duration,
    /// The delay after which storing the operators' bans is retried if the disk has failed.
    pub bans_retry_interval: Duration,
    /// A unit of a fleet's budget that is held for a caller is returned after `default_unit_lease` unless the caller
    /// states a time, and after `max_unit_lease` in any case. `unit_acquire_timeout` is how long a call waits for a
    /// unit if none is left.
    pub default_unit_lease: Duration,
    pub max_unit_lease: Duration,
    pub unit_acquire_timeout: Duration,
    pub service: violetwind_service::Limits,
    /// Timeouts between a process and its successor: for the first message of either, for the successor until it
    /// serves, which is due within 6 s, and for the earlier process to report that it has stopped accepting.
    pub handover_timeout: Duration,
    pub successor_ready_timeout: Duration,
    pub stop_ack_timeout: Duration,
    /// How long a successor waits for a list from discovery.
    pub successor_list_timeout: Duration,
    /// The number of operators' changes queued for the other process, and the interval at which the number of
    /// descriptors in use is reported to it.
    pub forward_queue_capacity: usize,
    pub descriptor_report_interval: Duration,
    /// The number of connections that are handed over at the same time; their descriptors are duplicated meanwhile.
    pub max_concurrent_transfers: usize,
    /// How long a connection waits for its turn to be offered to the successor, and then for the successor's answer. No
    /// line is relayed meanwhile, and none may be held back for a second. A connection whose turn has not come is relayed
    /// for `transfer_retry_interval` before it waits again.
    pub transfer_queue_timeout: Duration,
    pub transfer_answer_timeout: Duration,
    pub transfer_retry_interval: Duration,

    pub engine: violetwind_engine::Limits,
}

/// The values from which the limits are computed.
#[derive(Clone, Copy, Debug)]
pub struct LimitInputs {
    /// The number of proxies that use the same discovery service, and this proxy's index among them.
    pub fleet_size: usize,
    pub fleet_index: u64,
    /// Changes count as known to this proxy as soon as discovery has them: discovery is an agent of this proxy alone,
    /// not a service shared by all proxies.
    pub membership_pushed: bool,
    pub max_sockets: u64,
    pub query_deadline: Seconds,
    pub connect_timeout: Option<Seconds>,
    /// There is a separate address for operators.
    pub has_management_address: bool,
}

impl From<&Config> for LimitInputs {
    fn from(config: &Config) -> Self {
        Self {
            fleet_size: config.settings.fleet_size,
            fleet_index: config.settings.balancer_index,
            membership_pushed: !config.settings.requires_subscription,
            max_sockets: config.max_sockets,
            query_deadline: config.settings.resubscribe_within,
            connect_timeout: config.connect_timeout,
            has_management_address: config.management.is_some(),
        }
    }
}

impl Default for LimitInputs {
    fn default() -> Self {
        Self {
            fleet_size: 1,
            fleet_index: 0,
            membership_pushed: false,
            max_sockets: 1024,
            query_deadline: 10.0,
            connect_timeout: None,
            has_management_address: false,
        }
    }
}

impl Limits {
    /// The maximum size of the configuration file, which is read before the other limits are known.
    pub const MAX_CONFIG_BYTES: u64 = 8 << 20;

    /// A new process uses the list of its last run, and changes from its downtime count as known to it 6 s after
    /// discovery had them. It therefore makes its first call within this time, however many proxies start with it.
    const MAX_FIRST_DELAY: Duration = Duration::from_millis(2000);
    /// Changes count as known to the proxy 6 s after discovery became reachable, whatever failed before: a call that
    /// fails may take `MAX_CALL_TIME`, and the next call, after this backoff, has to be answered within the 6 s.
    const MAX_BACKOFF: Duration = Duration::from_millis(2500);
    const MAX_CALL_TIME: Duration = Duration::from_millis(3000);
    /// The estimated time that discovery needs for one call.
    const CALL_COST: Duration = Duration::from_millis(40);

    /// Computes the limits from the configuration.
    pub fn new(inputs: impl Into<LimitInputs>) -> Self {
        let inputs = inputs.into();
        let ms = Duration::from_millis;
        let secs = |seconds: Seconds| Duration::from_secs_f64(seconds.clamp(0.01, 3600.0));
        let sockets = inputs.max_sockets as usize;
        let (descriptor_reserve, probe_descriptors) = (24, 8 + sockets / 16);
        let max_pending_slots = (sockets / 8).clamp(8, 256);
        // The listener of the operators' address, the connection to a successor, and the callers.
        let max_callers = if inputs.has_management_address { 16 } else { 0 };
        let query_deadline = inputs.query_deadline.clamp(1.0, 60.0);
        let fleet_call_time = Self::CALL_COST * inputs.fleet_size.min(100_000) as u32;
        let initial_backoff = match inputs.membership_pushed {
            true => ms(100),
            false => fleet_call_time.clamp(ms(100), Self::MAX_BACKOFF),
        };
        let phase = (inputs.fleet_index % inputs.fleet_size.max(1) as u64) as f64
            / inputs.fleet_size.max(1) as f64;
        let request_descriptors = sockets
            .saturating_sub(
                descriptor_reserve + probe_descriptors + max_pending_slots + max_callers,
            )
            .max(2);
        Self {
            max_line_bytes: 4096,
            ring_buffer_bytes: 8192,
            max_consecutive_reads: 8,
            request_descriptors,
            descriptor_reserve,
            max_pending_slots,
            probe_descriptors,
            max_fields: 32,
            max_client_wait: 7200.0,
            max_log_lines: 10,
            log_window: ms(1000),
            command_queue_capacity: 8,
            probe_queue_capacity: 4,
            max_list_bytes: 8 << 20,
            max_list_rows: 20_000,
            // The load of one connection that keeps a thousand cores busy.
            max_connection_load: 1e9,
            backlog: 1024,
            accept_retry_delay: ms(2),
            first_line_timeout: ms(2000),
            min_first_line_timeout: ms(25),
            min_line_interval: ms(10),
            idle_timeout: ms(30_000),
            answer_slack: ms(10),
            resume_retry_interval: ms(250),
            connect_timeout: secs(inputs.connect_timeout.unwrap_or(0.25)),
            dial_retry_interval: ms(10),
            listen_timeout: ms(5000),
            probe_timeout: ms(300),
            server_silence_timeout: ms(4000),
            move_timeout: ms(250),
            keepalive_idle: ms(30_000),
            keepalive_interval: ms(10_000),
            linger_timeout: ms(500),
            max_linger_bytes: 64 << 10,
            half_close_timeout: ms(5000),
            discovery_connect_timeout: ms(1000),
            min_query_interval: ms(100),
            // Assumes that discovery answers one call of each proxy within 0.8 of the query deadline.
            watch_wait: secs((0.4 + 0.8 * phase) * query_deadline),
            // Changes that an unanswered watch misses count as known 2 s after its wait: there has to be time to open a
            // new one.
            watch_slack: secs((0.06 * query_deadline).min(0.3)),
            snapshot_timeout: secs(0.4 * query_deadline).min(Self::MAX_CALL_TIME),
            max_initial_delay: match inputs.membership_pushed {
                true => Duration::ZERO,
                false => initial_backoff
                    .min(secs(0.95 * query_deadline))
                    .min(Self::MAX_FIRST_DELAY),
            },
            initial_backoff,
            max_backoff: match inputs.membership_pushed {
                true => ms(200),
                false => (4 * initial_backoff)
                    .max(secs(0.2 * query_deadline))
                    .min(Self::MAX_BACKOFF),
            },
            max_unanswered_backoff: match inputs.membership_pushed {
                true => ms(200),
                false => ms(400).max(initial_backoff).min(Self::MAX_BACKOFF),
            },
            first_list_timeout: ms(3000),
            min_shutdown_time: ms(750),
            max_callers,
            call_read_timeout: ms(5000),
            call_answer_timeout: ms(800),
            bans_retry_interval: ms(250),
            default_unit_lease: ms(10_000),
            max_unit_lease: ms(86_400_000),
            unit_acquire_timeout: ms(300),
            service: violetwind_service::Limits::default(),
            handover_timeout: ms(500),
            successor_ready_timeout: ms(10_000),
            stop_ack_timeout: ms(500),
            successor_list_timeout: ms(2000),
            forward_queue_capacity: 16,
            descriptor_report_interval: ms(50),
            max_concurrent_transfers: 4,
            transfer_queue_timeout: ms(300),
            transfer_answer_timeout: ms(500),
            transfer_retry_interval: ms(300),
            engine: violetwind_engine::Limits {
                max_queued_events: 1024,
                max_rows_per_step: 256,
                resume_timeout: ms(38_000),
                drain_wait: ms(700),
                drain_span: ms(800),
                move_interval: ms(20),
            },
        }
    }
}

/// The schedule of a planned shutdown, in time since the signal. It depends on the longest deadline of a client.
#[derive(Clone, Debug)]
pub struct ShutdownSchedule {
    /// The window in which all clients are moved. It is as late as is safe: clients that are moved earlier would
    /// reconnect while the proxy that was restarted before this one is not back yet.
    pub move_window: Range<Duration>,
    /// The same window if a successor serves already and has taken over the connections that could be handed over.
    pub superseded_move_window: Range<Duration>,
    /// From here on no request is admitted, and waiting requests are answered.
    pub admission_end: Duration,
    /// The process ends, even with connections still open.
    pub exit_deadline: Duration,
}

impl ShutdownSchedule {
    /// Computes the schedule. SIGKILL follows SIGTERM no sooner than after the longest deadline, 3 s at most, plus
    /// 0.7 s.
    pub fn new(longest_deadline: Seconds) -> Self {
        let grace_period = longest_deadline.clamp(0.0, 3.0);
        let secs = Duration::from_secs_f64;
        let move_end = secs(grace_period);
        Self {
            move_window: secs((0.5 * grace_period).max(0.45).min(0.8 * grace_period))..move_end,
            superseded_move_window: secs(0.3 * grace_period)..move_end,
            // A move may wait up to `move_timeout` for the end of a line, and clients need a moment to read answers.
            admission_end: secs(grace_period + 0.25),
            exit_deadline: secs(grace_period + 0.45),
        }
    }
}

/// Counts the descriptors that connections hold, so that the process never runs out of them.
#[derive(Clone, Debug)]
pub struct DescriptorPool {
    available: Rc<Cell<usize>>,
    capacity: usize,
    /// Descriptors in use by another process of this proxy; both processes together keep within one limit.
    used_by_other_process: Rc<Cell<usize>>,
}

impl DescriptorPool {
    pub fn new(capacity: usize) -> Self {
        Self {
            available: Rc::new(Cell::new(capacity)),
            capacity,
            used_by_other_process: Rc::default(),
        }
    }

    /// Acquires descriptors for a connection that another process of this proxy hands over. That process frees as many,
    /// so the descriptors that it uses do not reduce what is available here.
    pub fn acquire_transferred(&self, count: usize) -> Option<DescriptorPermit> {
        self.available.set(self.available.get().checked_sub(count)?);
        Some(DescriptorPermit {
            available: self.available.clone(),
            count,
        })
    }

    /// Sets how many descriptors are in use by another process of this proxy.
    pub fn set_used_by_other_process(&self, count: usize) {
        self.used_by_other_process.set(count);
    }

    /// The number of descriptors acquired in this process.
    pub fn in_use(&self) -> usize {
        self.capacity - self.available.get()
    }

    /// Acquires descriptors until the permit is dropped; `None` if there are not enough.
    pub fn try_acquire(&self, count: usize) -> Option<DescriptorPermit> {
        let remaining = self.available.get().checked_sub(count)?;
        if remaining < self.used_by_other_process.get() {
            return None;
        }
        self.available.set(remaining);
        Some(DescriptorPermit {
            available: self.available.clone(),
            count,
        })
    }
}

/// Descriptors that are returned to the pool when the permit is dropped.
#[derive(Debug)]
pub struct DescriptorPermit {
    available: Rc<Cell<usize>>,
    count: usize,
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.available.set(self.available.get() + self.count);
    }
}
