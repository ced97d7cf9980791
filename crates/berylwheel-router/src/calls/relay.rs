//! Relaying an engine's stream to its caller.

use std::io;

use berylwheel_http::BodySender;
use berylwheel_http::EventReader;
use berylwheel_http::ResponseStream;
use berylwheel_http::encode_event;
use berylwheel_http::problem_body;
use berylwheel_http::timeout;
use berylwheel_route::Outcome;
use berylwheel_types::Code;
use berylwheel_types::Millis;
use berylwheel_types::Refusal;
use berylwheel_types::RequestId;
use berylwheel_types::Tokens;
use serde_json::json;

use crate::calls::chat::EngineEvent;
use crate::calls::engine::Job;
use crate::calls::engine::Opened;
use crate::calls::ticket::Ticket;
use crate::calls::traffic::Traffic;
use crate::control::command::Placement;

/// Time that a caller may take to receive one event before it counts as gone.
const STALL_LIMIT: Millis = Millis(30_000);
/// Times that a broken stream is resumed at its engine.
const RESUME_LIMIT: u32 = 2;
/// Bytes of prompt per token in the estimate of a bill whose usage the engine did not report.
const BYTES_PER_TOKEN: u64 = 4;

impl Traffic {
    /// Relays the events of an opened stream to the caller.
    pub(crate) async fn relay(
        &self,
        job: Job,
        mut ticket: Ticket,
        opened: Opened,
        sender: BodySender,
    ) {
        let Opened { start, id, mut reader, first } = opened;
        let mut progress = Progress::default();
        let mut resumed = 0;
        let mut next = Ok(Some(first));
        let failure = loop {
            let data = match next {
                Ok(Some(data)) => data,
                Ok(None) | Err(_) if resumed < RESUME_LIMIT && self.clock.now() < job.end => {
                    resumed += 1;
                    match self.resume(&job, &start, &id, progress.tokens).await {
                        Some(resumed_reader) => reader = resumed_reader,
                        None => break "the answer broke off and could not be resumed".to_owned(),
                    }
                    next = self.next_event(&job, &mut reader).await;
                    continue;
                }
                Ok(None) => break "the answer broke off".to_owned(),
                Err(error) => break error.to_string(),
            };
            if data == "[DONE]" {
                if !progress.complete {
                    break "the answer ended without its usage".to_owned();
                }
                let delivered = send(&sender, encode_event(&data)).await;
                self.metrics.count_billed(&job.kind.id, ticket.used().0);
                ticket.finish(Outcome::Ok, delivered);
                return;
            }
            match progress.check(&data, &id) {
                Step::Forward => {}
                Step::Drop => {
                    next = self.next_event(&job, &mut reader).await;
                    continue;
                }
                Step::Fail(detail) => break detail.to_owned(),
            }
            let estimate = Tokens(job.chat.prompt.0 / BYTES_PER_TOKEN + progress.tokens);
            ticket.set_used(progress.usage.unwrap_or(estimate));
            if !send(&sender, encode_event(&data)).await {
                if let Some(usage) = self.cancel(&start, &id).await {
                    ticket.set_used(usage);
                }
                log::info!(request = job.call.id.as_str(), tokens = progress.tokens; "caller left");
                ticket.finish(Outcome::Cancelled, false);
                return;
            }
            next = self.next_event(&job, &mut reader).await;
        };
        self.note_failure(&job, &start, Outcome::Failed, &failure);
        self.cancel(&start, &id).await;
        let refusal = Refusal::unknown(Code::AnswerTruncated, failure);
        self.metrics.count_refusal(refusal.code);
        let problem = problem_body(&refusal, job.call.id.as_str());
        let event = format!("event: error\ndata: {}\n\n", json!({ "error": problem }));
        let _ = send(&sender, event.into_bytes()).await;
        let _ = sender.try_send(Err(io::Error::other("answer truncated")));
        ticket.finish(Outcome::Failed, false);
    }

    async fn next_event(
        &self,
        job: &Job,
        reader: &mut EventReader<ResponseStream>,
    ) -> io::Result<Option<String>> {
        let left = job.end.since(self.clock.now());
        let expired = || Err(io::Error::new(io::ErrorKind::TimedOut, "request limit reached"));
        timeout(left, reader.next()).await.unwrap_or_else(expired)
    }

    /// Asks the engine to go on with a stream whose connection broke.
    async fn resume(
        &self,
        job: &Job,
        start: &Placement,
        id: &RequestId,
        tokens: u64,
    ) -> Option<EventReader<ResponseStream>> {
        let outgoing = self.outgoing(job, start, id).header("x-resume-from", tokens.to_string());
        let (response, stream) = self.client.send(start.server.address, &outgoing).await.ok()?;
        (response.status() == 200).then(|| EventReader::new(stream))
    }
}

/// What has been seen of a stream.
#[derive(Default)]
struct Progress {
    tokens: u64,
    sequence: Option<u64>,
    usage: Option<Tokens>,
    complete: bool,
}

enum Step {
    Forward,
    Drop,
    Fail(&'static str),
}

impl Progress {
    /// Checks that an event belongs to the answer and comes next.
    fn check(&mut self, data: &str, id: &RequestId) -> Step {
        let Some(event) = EngineEvent::parse(data) else {
            return Step::Fail("an event is not a JSON object");
        };
        if !event.is_for(id) {
            return Step::Fail("an event belongs to another request");
        }
        if let (Some(last), Some(sequence)) = (self.sequence, event.sequence) {
            if sequence <= last {
                return Step::Drop;
            }
            if sequence != last + 1 {
                return Step::Fail("an event is missing");
            }
        }
        self.sequence = event.sequence.or(self.sequence);
        self.tokens += u64::from(event.content);
        if let Some(usage) = event.usage {
            self.usage = Some(usage);
            self.complete = true;
        }
        Step::Forward
    }
}

/// Sends bytes to the caller, and returns whether it is still there.
async fn send(sender: &BodySender, bytes: Vec<u8>) -> bool {
    matches!(timeout(STALL_LIMIT, sender.send(Ok(bytes))).await, Some(Ok(())))
}
