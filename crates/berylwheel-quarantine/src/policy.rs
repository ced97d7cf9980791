//! Thresholds and limits.

use berylwheel_types::Millis;

/// When a prompt part is quarantined, and for how long.
///
/// ```
/// use berylwheel_quarantine::QuarantinePolicy;
/// assert_eq!(QuarantinePolicy::default().independent_ends, 3);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantinePolicy {
    /// Time in which ends of servers count as evidence.
    pub evidence_window: Millis,
    /// Maximum difference between two reports of the same end of a server.
    pub end_tolerance: Millis,
    /// Tolerance for the order of an end and a later request, which two routers report.
    pub order_tolerance: Millis,
    /// Number of independent ends after which the routers are asked for answers to a part.
    pub suspect_ends: u32,
    /// Number of independent ends after which a part is quarantined.
    pub independent_ends: u32,
    /// The same for a part that was answered shortly before the first of them. It may have become
    /// harmful since, but more likely its requests were merely there.
    pub answered_ends: u32,
    /// Number of ends, independent or not, after which a part is quarantined that is already
    /// suspected.
    pub total_ends: u32,
    /// Number of ends from which a part is quarantined although another one is at all of its ends.
    pub rival_ends: u32,
    /// Number of ends under other requests for which one more end is required. The more servers end
    /// for other reasons, the more often a sound part is there by chance.
    pub other_ends: u32,
    /// Maximum number of ends that are required in addition for this reason.
    pub max_additional_ends: u32,
    /// How long the other routers have to report answers to a part before it is quarantined.
    pub query_wait: Millis,
    /// How long the routers have to report the same end before its parts are judged.
    pub report_wait: Millis,
    /// Age up to which an own answer to a part makes the part unsuspicious without asking others.
    pub fresh_answer: Millis,
    /// Age up to which an answer to a part before the first end still counts for it.
    pub answer_memory: Millis,
    /// How long requests with a suspected part are sent to one server only, and routers report
    /// answers to it without being asked again.
    pub suspicion_time: Millis,
    /// How long a request without an answer is remembered until its server is known to have ended.
    pub pending_time: Millis,
    /// How long requests with a quarantined part are refused after the last one.
    pub hold_time: Millis,
    /// Maximum number of server ends that are remembered.
    pub max_ends: usize,
    /// Maximum number of suspected requests of one end.
    pub max_suspects: usize,
    /// Maximum number of parts of a suspected request, and of a hold.
    pub max_parts: usize,
    /// Maximum number of parts in a report of an end, which its requests share.
    pub max_reported: usize,
    /// Maximum number of parts in all requests whose server may have ended.
    pub max_pending: usize,
    /// Maximum number of parts in all ends that are remembered.
    pub max_evidence: usize,
    /// Maximum number of holds.
    pub max_holds: usize,
    /// Maximum number of parts whose last answer is remembered.
    pub max_answers: usize,
    /// Maximum number of ends that one peer may report within `report_window`.
    pub max_reports: u32,
    /// See `max_reports`.
    pub report_window: Millis,
}

impl Default for QuarantinePolicy {
    fn default() -> Self {
        Self {
            evidence_window: Millis(600_000),
            end_tolerance: Millis(1_000),
            order_tolerance: Millis(20),
            suspect_ends: 2,
            independent_ends: 3,
            answered_ends: 5,
            total_ends: 5,
            rival_ends: 4,
            other_ends: 2,
            max_additional_ends: 6,
            query_wait: Millis(150),
            report_wait: Millis(50),
            fresh_answer: Millis(5_000),
            answer_memory: Millis(60_000),
            suspicion_time: Millis(10_000),
            pending_time: Millis(10_000),
            hold_time: Millis(3_600_000),
            max_ends: 128,
            max_suspects: 64,
            max_parts: 512,
            max_reported: 4_096,
            max_pending: 65_536,
            max_evidence: 131_072,
            max_holds: 64,
            max_answers: 32_768,
            max_reports: 64,
            report_window: Millis(10_000),
        }
    }
}
