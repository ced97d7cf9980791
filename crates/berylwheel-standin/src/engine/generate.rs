//! Token generation: waits for a concurrency slot, then generates one token at a time.

use std::future::poll_fn;
use std::sync::Arc;
use std::task::Poll;

use async_channel::Receiver;
use async_io::Timer;
use berylwheel_types::Millis;
use futures_lite::FutureExt;

use super::state::Engine;

/// Parameters of the generation for one request.
pub(crate) struct GenerationJob {
    pub(crate) id: String,
    pub(crate) priority: u64,
    pub(crate) max_tokens: u64,
    pub(crate) prefix: u64,
    /// Delays in milliseconds before the first token and between tokens.
    pub(crate) delays: (u64, u64),
    /// Closes when the request is cancelled.
    pub(crate) cancelled: Receiver<()>,
}

/// Generates the tokens of a request. Generation continues if the client disconnects.
pub(crate) async fn generate(engine: Arc<Engine>, job: GenerationJob) {
    let entry = engine.with_state(|state| {
        let entry = state.slots.acquire(job.priority);
        engine.record_load(state);
        entry
    });
    let mut has_slot = true;
    if let Some(entry) = entry {
        let assigned = async { entry.assigned.recv().await.is_ok() };
        let cancel = async {
            let _ = job.cancelled.recv().await;
            false
        };
        has_slot =
            assigned.or(cancel).await || !engine.with_state(|state| state.slots.dequeue(&entry));
    }
    if has_slot && !job.cancelled.is_closed() {
        mark_started(&engine, &job);
        generate_tokens(&engine, &job).await;
    }
    engine.with_state(|state| {
        if has_slot {
            state.slots.release();
        }
        engine.record_load(state);
        if let Some(record) = state.records.get_mut(&job.id) {
            record.finished = true;
            record.wake_readers();
        }
    });
}

fn mark_started(engine: &Engine, job: &GenerationJob) {
    let visible_from = engine.options.clock.now() + engine.options.cache_lag;
    engine.with_state(|state| {
        engine.record_load(state);
        let lost_events = &mut state.faults.cache_gaps;
        state.cache.use_prefix(job.prefix, engine.options.cache_entries, visible_from, lost_events);
        if let Some(record) = state.records.get_mut(&job.id) {
            record.started = true;
        }
    });
}

async fn generate_tokens(engine: &Engine, job: &GenerationJob) {
    let (first, interval) = job.delays;
    for count in 1..=job.max_tokens {
        let delay = if count == 1 { first } else { interval };
        if delay > 0 {
            let timer = async {
                Timer::after(Millis(delay).duration()).await;
            };
            let cancel = async {
                let _ = job.cancelled.recv().await;
            };
            timer.or(cancel).await;
        }
        let cancelled = job.cancelled.is_closed();
        let updated = engine.with_state(|state| match state.records.get_mut(&job.id) {
            Some(record) if !cancelled => {
                record.generated_tokens = count;
                record.wake_readers();
                true
            }
            _ => false,
        });
        if !updated {
            return;
        }
    }
}

/// Snapshot of the progress of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    pub(crate) prompt_tokens: u64,
    pub(crate) generated_tokens: u64,
    pub(crate) finished: bool,
    pub(crate) cancelled: bool,
}

/// Waits until more than `known_tokens` tokens are generated or the request is finished. Returns
/// `None` if there is no record of the request.
pub(crate) async fn wait_for_progress(
    engine: &Engine,
    id: &str,
    known_tokens: u64,
) -> Option<Progress> {
    poll_fn(|cx| {
        engine.with_state(|state| {
            let Some(record) = state.records.get_mut(id) else { return Poll::Ready(None) };
            if record.generated_tokens <= known_tokens && !record.finished {
                if !record.wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
                    record.wakers.push(cx.waker().clone());
                }
                return Poll::Pending;
            }
            Poll::Ready(Some(Progress {
                prompt_tokens: record.prompt_tokens,
                generated_tokens: record.generated_tokens,
                finished: record.finished,
                cancelled: record.cancelled,
            }))
        })
    })
    .await
}
