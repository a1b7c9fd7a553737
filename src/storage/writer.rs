//! A thread that performs the writes of one owner, so that a slow disk never blocks the poll loop.
#![deny(
    missing_docs,
    rust_2018_idioms,
    clippy::too_many_lines,
    clippy::type_complexity,
    clippy::cognitive_complexity
)]

use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::thread::JoinHandle;
use std::time::Duration;

/// How long dropping a [`WriterThread`] waits for its last write: a disk that hangs must not prevent the
/// process from exiting.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);

/// A named thread with a bounded queue of jobs.
///
/// Dropping it closes the queue and waits at most 500 ms for the queued jobs. A thread that needs longer is
/// detached.
#[derive(Debug)]
pub(super) struct WriterThread<T> {
    /// `None` only during the drop.
    jobs: Option<SyncSender<T>>,
    ended: Receiver<()>,
    thread: Option<JoinHandle<()>>,
}

impl<T: Send + 'static> WriterThread<T> {
    /// Starts a thread that runs `work`, which ends when its receiver is closed.
    ///
    /// # Errors
    ///
    /// Fails when the operating system can't create a thread.
    pub(super) fn spawn(
        name: &str,
        queue_len: usize,
        work: impl FnOnce(Receiver<T>) + Send + 'static,
    ) -> io::Result<WriterThread<T>> {
        let (jobs, queue) = sync_channel(queue_len);
        let (signal_end, ended) = sync_channel(1);
        let run = move || {
            work(queue);
            // Fails if the owner has stopped waiting.
            let _ = signal_end.send(());
        };
        let thread = std::thread::Builder::new().name(name.to_owned()).spawn(run)?;
        Ok(WriterThread { jobs: Some(jobs), ended, thread: Some(thread) })
    }

    /// Queues a job. Never blocks; returns the job if the queue is full or the thread has ended.
    pub(super) fn try_send(&self, job: T) -> Result<(), T> {
        let Some(jobs) = &self.jobs else { return Err(job) };
        jobs.try_send(job).map_err(|error| match error {
            TrySendError::Full(job) | TrySendError::Disconnected(job) => job,
        })
    }
}

impl<T> WriterThread<T> {
    /// Whether the thread has ended, so that no more jobs will be processed.
    pub(super) fn has_stopped(&self) -> bool {
        self.thread.as_ref().is_none_or(JoinHandle::is_finished)
    }
}

impl<T> Drop for WriterThread<T> {
    fn drop(&mut self) {
        drop(self.jobs.take());
        match self.ended.recv_timeout(SHUTDOWN_TIMEOUT) {
            Ok(()) => {
                if let Some(thread) = self.thread.take() {
                    // The panic hook has reported a panic of the thread.
                    let _ = thread.join();
                }
            }
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => {}
        }
    }
}
