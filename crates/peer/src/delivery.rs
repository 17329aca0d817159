//! Delivery of queued releases, with retries until they are acknowledged.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration};

use kernel::name::Host;
use tokio::time::timeout;
use wire::call::{Release, write_release};

use crate::{
    link::{CallError, get_or_connect},
    service::Context,
};

/// Delivers queued releases until dropped, with one task per host.
pub(crate) async fn run(context: Rc<Context>) {
    let active: Rc<RefCell<BTreeSet<Host>>> = Rc::default();
    loop {
        for host in context.shared.releases.hosts() {
            if !active.borrow_mut().insert(host.clone()) {
                continue;
            }
            let delivery = deliver_all(Rc::clone(&context), host, Rc::clone(&active));
            tokio::task::spawn_local(delivery);
        }
        context.shared.releases.added.notified().await;
    }
}

/// Delay before the first retry. The delay doubles after each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Upper bound of the retry delay.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Delivers the releases of one host until none is left, or drops them if the host is down or
/// unknown.
async fn deliver_all(context: Rc<Context>, host: Host, active: Rc<RefCell<BTreeSet<Host>>>) {
    let mut delay = MIN_RETRY_DELAY;
    loop {
        let batch = context.shared.releases.batch(&host);
        if batch.is_empty() {
            break;
        }
        match deliver_batch(&context, &host, &batch).await {
            Ok(()) => delay = MIN_RETRY_DELAY,
            Err(CallError::Down | CallError::Unknown) => {
                let dropped = context.shared.releases.clear(&host);
                context.shared.counters.releases_dropped.add(dropped);
                break;
            }
            Err(error) => {
                log::debug!(target: "peer", "Releasing permits at host {host} failed and will be retried: {error}.");
                tokio::time::sleep(delay).await;
                delay = MAX_RETRY_DELAY.min(delay * 2);
            }
        }
    }
    active.borrow_mut().remove(&host);
}

/// Sends a batch of releases and waits until all of them are acknowledged.
async fn deliver_batch(
    context: &Rc<Context>,
    host: &Host,
    batch: &[Release],
) -> Result<(), CallError> {
    let session = get_or_connect(context, host).await?;
    let calls = batch.iter().map(|release| {
        context.shared.counters.calls_out.add(1);
        let mut request = session.peer.release_request();
        write_release(release, request.get().init_release());
        request.send().promise
    });
    let calls = futures::future::try_join_all(calls);
    timeout(context.limits.release_timeout, session.response(calls)).await??;
    context.shared.releases.acknowledge(host, batch);
    Ok(())
}
