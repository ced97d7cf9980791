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
pub(crate) struct Work {
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
pub(crate) async fn generate(engine: Arc<Engine>, work: Work) {
    let place = engine.with(|state| {
        let place = state.slots.take(work.priority);
        engine.note_load(state);
        place
    });
    let mut held = true;
    if let Some(place) = place {
        let turn = async { place.turn.recv().await.is_ok() };
        let cancel = async {
            let _ = work.cancelled.recv().await;
            false
        };
        held = turn.or(cancel).await || !engine.with(|state| state.slots.leave(&place));
    }
    if held && !work.cancelled.is_closed() {
        start(&engine, &work);
        produce(&engine, &work).await;
    }
    engine.with(|state| {
        if held {
            state.slots.free();
        }
        engine.note_load(state);
        if let Some(record) = state.records.get_mut(&work.id) {
            record.finished = true;
            record.wake();
        }
    });
}

fn start(engine: &Engine, work: &Work) {
    let shown_from = engine.options.clock.now() + engine.options.cache_lag;
    engine.with(|state| {
        engine.note_load(state);
        let gaps = &mut state.faults.cache_gaps;
        state.cache.touch(work.prefix, engine.options.cache_entries, shown_from, gaps);
        if let Some(record) = state.records.get_mut(&work.id) {
            record.started = true;
        }
    });
}

async fn produce(engine: &Engine, work: &Work) {
    let (first, interval) = work.delays;
    for n in 1..=work.max_tokens {
        let delay = if n == 1 { first } else { interval };
        if delay > 0 {
            let timer = async {
                Timer::after(Millis(delay).duration()).await;
            };
            let cancel = async {
                let _ = work.cancelled.recv().await;
            };
            timer.or(cancel).await;
        }
        let stopped = work.cancelled.is_closed();
        let known = engine.with(|state| match state.records.get_mut(&work.id) {
            Some(record) if !stopped => {
                record.generated = n;
                record.wake();
                true
            }
            _ => false,
        });
        if !known {
            return;
        }
    }
}

/// Snapshot of the progress of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Progress {
    pub(crate) prompt: u64,
    pub(crate) generated: u64,
    pub(crate) finished: bool,
    pub(crate) cancelled: bool,
}

/// Waits until more than `seen` tokens are generated or the request is finished. Returns `None` if
/// there is no record of the request.
pub(crate) async fn progress(engine: &Engine, id: &str, seen: u64) -> Option<Progress> {
    poll_fn(|cx| {
        engine.with(|state| {
            let Some(record) = state.records.get_mut(id) else { return Poll::Ready(None) };
            if record.generated <= seen && !record.finished {
                if !record.readers.iter().any(|reader| reader.will_wake(cx.waker())) {
                    record.readers.push(cx.waker().clone());
                }
                return Poll::Pending;
            }
            Poll::Ready(Some(Progress {
                prompt: record.prompt,
                generated: record.generated,
                finished: record.finished,
                cancelled: record.cancelled,
            }))
        })
    })
    .await
}
