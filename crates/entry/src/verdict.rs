//! Channel for the verdict on a permit request to this host's own steward.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        mpsc::{Receiver, RecvTimeoutError, sync_channel},
    },
    time::Duration,
};

use kernel::permit::{Permit, Verdict};

use crate::inbox::Reply;

/// The state of the request. The lock is held while a verdict is passed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Waiting,
    Withdrawn,
}

/// The receiving end.
#[derive(Debug)]
pub struct Waiter {
    receiver: Receiver<Verdict>,
    phase: Arc<Mutex<Phase>>,
}

/// Creates a channel. A permit that is granted after the request was withdrawn is passed to
/// `return_permit`.
pub fn channel(return_permit: impl FnOnce(Permit) + Send + 'static) -> (Reply, Waiter) {
    let (sender, receiver) = sync_channel(1);
    let phase = Arc::new(Mutex::new(Phase::Waiting));
    let waiter = Waiter {
        receiver,
        phase: Arc::clone(&phase),
    };
    let reply = move |verdict| {
        let phase = lock(&phase);
        if *phase == Phase::Waiting {
            // The channel has room, since only one verdict is sent.
            let _ = sender.send(verdict);
            return;
        }
        if let Verdict::Granted(permit) = verdict {
            return_permit(permit);
        }
    };
    (Box::new(reply), waiter)
}

fn lock(phase: &Mutex<Phase>) -> MutexGuard<'_, Phase> {
    phase.lock().expect("verdict lock is poisoned")
}

impl Waiter {
    /// Waits for the verdict. Fails with [`RecvTimeoutError::Disconnected`] if there will be none.
    pub fn wait(&self, timeout: Duration) -> Result<Verdict, RecvTimeoutError> {
        self.receiver.recv_timeout(timeout)
    }

    /// Withdraws the request. Returns a permit that was granted before.
    pub fn withdraw(self) -> Option<Permit> {
        *lock(&self.phase) = Phase::Withdrawn;
        match self.receiver.try_recv() {
            Ok(Verdict::Granted(permit)) => Some(permit),
            _ => None,
        }
    }
}
