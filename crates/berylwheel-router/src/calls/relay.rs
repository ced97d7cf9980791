//! Relays the event stream of an engine to the caller.

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
use crate::calls::engine::ChatJob;
use crate::calls::engine::OpenStream;
use crate::calls::request_guard::RequestGuard;
use crate::calls::request_handler::RequestHandler;
use crate::control::command::Placement;
use crate::control::command::Usage;

/// Timeout for sending one event to a caller. A caller that exceeds it counts as disconnected.
const SEND_TIMEOUT: Millis = Millis(30_000);
/// Maximum number of times that an interrupted stream is resumed at its engine.
const MAX_RESUMES: u32 = 2;
/// Bytes of prompt per token, for the estimate that is billed if the engine reports no usage.
const BYTES_PER_TOKEN: u64 = 4;

impl RequestHandler {
    /// Relays the events of an open stream to the caller.
    pub(crate) async fn relay(
        &self,
        job: ChatJob,
        mut guard: RequestGuard,
        opened: OpenStream,
        sender: BodySender,
    ) {
        let OpenStream { placement, id, mut reader, first } = opened;
        let mut progress = StreamProgress::default();
        let mut resumes = 0;
        let mut next = Ok(Some(first));
        let failure = loop {
            let data = match next {
                Ok(Some(data)) => data,
                Ok(None) | Err(_)
                    if resumes < MAX_RESUMES && self.clock.now() < job.end_deadline =>
                {
                    resumes += 1;
                    match self.resume(&job, &placement, &id, progress.tokens).await {
                        Some(resumed_reader) => reader = resumed_reader,
                        None => {
                            break "the stream was interrupted and could not be resumed".to_owned();
                        }
                    }
                    next = self.next_event(&job, &mut reader).await;
                    continue;
                }
                Ok(None) => break "the stream was interrupted".to_owned(),
                Err(error) => break error.to_string(),
            };
            if data == "[DONE]" {
                if !progress.complete {
                    break "the stream ended without a usage report".to_owned();
                }
                let delivered = send(&sender, encode_event(&data)).await;
                self.metrics.count_billed(&job.kind.id, guard.billed().0);
                guard.finish(Outcome::Ok, delivered);
                return;
            }
            match progress.check(&data, &id) {
                EventAction::Forward => {}
                EventAction::Drop => {
                    next = self.next_event(&job, &mut reader).await;
                    continue;
                }
                EventAction::Fail(detail) => break detail.to_owned(),
            }
            let estimate = Tokens(job.chat.prompt_tokens.0 / BYTES_PER_TOKEN + progress.tokens);
            guard.set_usage(Usage::Known(progress.usage.unwrap_or(estimate)));
            if !send(&sender, encode_event(&data)).await {
                if let Some(usage) = self.cancel(&placement, &id).await {
                    guard.set_usage(Usage::Known(usage));
                }
                log::info!(
                    request = job.call.id.as_str(), tokens = progress.tokens;
                    "caller disconnected"
                );
                guard.finish(Outcome::Cancelled, false);
                return;
            }
            next = self.next_event(&job, &mut reader).await;
        };
        self.log_failure(&job, &placement, Outcome::Failed, &failure);
        self.cancel(&placement, &id).await;
        let refusal = Refusal::unknown(Code::AnswerTruncated, failure);
        self.metrics.count_refusal(refusal.code);
        let problem = problem_body(&refusal, job.call.id.as_str());
        let event = format!("event: error\ndata: {}\n\n", json!({ "error": problem }));
        let _ = send(&sender, event.into_bytes()).await;
        let _ = sender.try_send(Err(io::Error::other("answer truncated")));
        guard.finish(Outcome::Failed, false);
    }

    async fn next_event(
        &self,
        job: &ChatJob,
        reader: &mut EventReader<ResponseStream>,
    ) -> io::Result<Option<String>> {
        let remaining = job.end_deadline.since(self.clock.now());
        let timed_out = || Err(io::Error::new(io::ErrorKind::TimedOut, "request limit reached"));
        timeout(remaining, reader.next()).await.unwrap_or_else(timed_out)
    }

    /// Asks the engine to resume an interrupted stream after `tokens` tokens.
    async fn resume(
        &self,
        job: &ChatJob,
        placement: &Placement,
        id: &RequestId,
        tokens: u64,
    ) -> Option<EventReader<ResponseStream>> {
        let mut outgoing =
            self.engine_request(job, placement, id).header("x-resume-from", tokens.to_string());
        // An engine whose stream broke off may be closing its pooled connections, and there is one
        // attempt only.
        outgoing.pooled = false;
        let (response, stream) =
            self.client.send(placement.server.address, &outgoing).await.ok()?;
        (response.status() == 200).then(|| EventReader::new(stream))
    }
}

/// How much of a stream has been received.
#[derive(Default)]
struct StreamProgress {
    tokens: u64,
    last_sequence: Option<u64>,
    usage: Option<Tokens>,
    complete: bool,
}

enum EventAction {
    Forward,
    Drop,
    Fail(&'static str),
}

impl StreamProgress {
    /// Checks that an event belongs to attempt `id` and is the next one in sequence.
    fn check(&mut self, data: &str, id: &RequestId) -> EventAction {
        let Some(event) = EngineEvent::parse(data) else {
            return EventAction::Fail("an event is not a JSON object");
        };
        if !event.belongs_to(id) {
            return EventAction::Fail("an event belongs to another request");
        }
        if let (Some(last), Some(sequence)) = (self.last_sequence, event.sequence) {
            if sequence <= last {
                return EventAction::Drop;
            }
            if sequence != last + 1 {
                return EventAction::Fail("an event is missing");
            }
        }
        self.last_sequence = event.sequence.or(self.last_sequence);
        self.tokens += u64::from(event.has_content);
        if let Some(usage) = event.usage {
            self.usage = Some(usage);
            self.complete = true;
        }
        EventAction::Forward
    }
}

/// Sends bytes to the caller. Returns whether the caller is still connected.
async fn send(sender: &BodySender, bytes: Vec<u8>) -> bool {
    matches!(timeout(SEND_TIMEOUT, sender.send(Ok(bytes))).await, Some(Ok(())))
}
